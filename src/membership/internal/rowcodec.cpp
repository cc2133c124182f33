#include "membership/rowcodec.h"

#include <cstdint>

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace oriolevane::membership {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxTextBytes = 512;

absl::Status
Unreadable(std::string_view aWhat)
{
  return absl::DataLossError("unreadable " + std::string(aWhat));
}

Json
Parse(std::string_view aValue)
{
  constexpr bool kThrow = false;
  return Json::parse(aValue, nullptr, kThrow);
}

bool
Take(const Json& aObject, const char* aName, std::string& aTo)
{
  const auto at = aObject.find(aName);
  if (at == aObject.end() || !at->is_string()) {
    return false;
  }
  aTo = at->get<std::string>();
  return aTo.size() <= kMaxTextBytes;
}

bool
Take(const Json& aObject, const char* aName, std::uint64_t& aTo)
{
  const auto at = aObject.find(aName);
  if (at == aObject.end() || !at->is_number_unsigned()) {
    return false;
  }
  aTo = at->get<std::uint64_t>();
  return true;
}

bool
TakeSnapshot(const Json& aObject, std::optional<SnapshotReference>& aTo)
{
  const auto at = aObject.find("snapshot");
  if (at == aObject.end()) {
    return true;
  }
  aTo.emplace();
  return at->is_object() && Take(*at, "object", aTo->mObject) &&
         Take(*at, "sequence", aTo->mSequence);
}

} // namespace

std::string
NodeRowKey(const NodeId& aNode)
{
  return std::string(kNodePrefix) + aNode.mValue;
}

std::string
OwnershipRowKey(const RowRef& aRow)
{
  const bool isPartition = aRow.mKind == RowKind::Partition;
  return fmt::format(
    "{}{}", isPartition ? kPartitionPrefix : kShardPrefix, aRow.mNumber);
}

std::string
PartitionRowKey(PartitionId aPartition)
{
  return OwnershipRowKey({ RowKind::Partition, aPartition.mValue });
}

absl::StatusOr<RowRef>
ParseOwnershipRowKey(std::string_view aKey)
{
  RowRef row;
  if (aKey.starts_with(kPartitionPrefix)) {
    aKey.remove_prefix(kPartitionPrefix.size());
  } else if (aKey.starts_with(kShardPrefix)) {
    row.mKind = RowKind::Shard;
    aKey.remove_prefix(kShardPrefix.size());
  } else {
    return Unreadable("key of an ownership row");
  }
  if (!absl::SimpleAtoi(std::string(aKey), &row.mNumber) ||
      aKey != std::to_string(row.mNumber)) {
    return Unreadable("number of an ownership row");
  }
  return row;
}

std::string
EncodeNodeRow(const NodeRow& aRow)
{
  return Json{
    { "incarnation", aRow.mIncarnation.mValue },
    { "address", aRow.mAddress },
    { "zone", aRow.mZone.mValue },
    { "renewals", aRow.mRenewals },
    { "state", aRow.mLeaving ? "leaving" : "live" }
  }.dump();
}

absl::StatusOr<NodeRow>
ParseNodeRow(std::string_view aKey, std::string_view aValue)
{
  if (!aKey.starts_with(kNodePrefix) || aKey.size() == kNodePrefix.size()) {
    return Unreadable("key of a node row");
  }
  const Json json = Parse(aValue);
  NodeRow row{ .mNode = NodeId(std::string(aKey.substr(kNodePrefix.size()))) };
  std::string state;
  if (!json.is_object() ||
      !Take(json, "incarnation", row.mIncarnation.mValue) ||
      !Take(json, "address", row.mAddress) ||
      !Take(json, "zone", row.mZone.mValue) ||
      !Take(json, "renewals", row.mRenewals) || !Take(json, "state", state)) {
    return Unreadable(fmt::format("row {}", aKey));
  }
  if (state != "live" && state != "leaving") {
    return Unreadable(fmt::format("state in row {}", aKey));
  }
  row.mLeaving = state == "leaving";
  return row;
}

std::string
EncodeOwnershipRow(const OwnershipRow& aRow)
{
  Json json{ { "epoch", aRow.mEpoch.mValue },
             { "owner", aRow.mOwner.mValue },
             { "incarnation", aRow.mOwnerIncarnation.mValue },
             { "log_from_epoch", aRow.mLogFromEpoch.mValue } };
  if (aRow.mSnapshot) {
    json["snapshot"] = { { "object", aRow.mSnapshot->mObject },
                         { "sequence", aRow.mSnapshot->mSequence } };
  }
  return json.dump();
}

absl::StatusOr<OwnershipRow>
ParseOwnershipRow(std::string_view aValue)
{
  const Json json = Parse(aValue);
  OwnershipRow row;
  if (!json.is_object() || !Take(json, "epoch", row.mEpoch.mValue) ||
      !Take(json, "owner", row.mOwner.mValue) ||
      !Take(json, "incarnation", row.mOwnerIncarnation.mValue) ||
      !Take(json, "log_from_epoch", row.mLogFromEpoch.mValue) ||
      !TakeSnapshot(json, row.mSnapshot)) {
    return Unreadable("ownership row");
  }
  if (row.mEpoch == Epoch(0) || row.mLogFromEpoch > row.mEpoch) {
    return Unreadable("epochs of an ownership row");
  }
  return row;
}

} // namespace oriolevane::membership
