#include "store/tablewire.h"

#include <cstdint>
#include <utility>

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace oriolevane::store {

namespace {

using Json = nlohmann::json;

absl::Status
Malformed(std::string_view aWhat)
{
  return absl::DataLossError("malformed " + std::string(aWhat));
}

Json
Parse(std::string_view aJson)
{
  constexpr bool kThrow = false;
  constexpr bool kIgnoreComments = true;
  return Json::parse(aJson, nullptr, kThrow, kIgnoreComments);
}

bool
Take(const Json& aObject, const char* aName, std::string& aTo)
{
  const auto at = aObject.find(aName);
  if (at == aObject.end() || !at->is_string()) {
    return false;
  }
  aTo = at->get<std::string>();
  return true;
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
TakeAmount(const Json& aObject, const char* aName, std::int64_t& aTo)
{
  const auto at = aObject.find(aName);
  if (at == aObject.end()) {
    return true;
  }
  if (!at->is_number_integer() || at->get<std::int64_t>() < 0) {
    return false;
  }
  aTo = at->get<std::int64_t>();
  return true;
}

bool
TakeBytes(const Json& aObject, const char* aName, std::string& aTo)
{
  std::string encoded;
  return Take(aObject, aName, encoded) && absl::Base64Unescape(encoded, &aTo);
}

bool
TakeCapacity(const Json& aHost, Resources& aTo)
{
  const auto at = aHost.find("capacity");
  return at != aHost.end() && at->is_object() &&
         TakeAmount(*at, "millicores", aTo.mMilliCores) &&
         TakeAmount(*at, "memory_mib", aTo.mMemoryMiB) &&
         TakeAmount(*at, "accelerators", aTo.mAccelerators) &&
         TakeAmount(*at, "slots", aTo.mSlots);
}

bool
TakeHost(const Json& aJson, HostEntry& aTo)
{
  if (!aJson.is_object() || !Take(aJson, "worker", aTo.mWorker.mValue) ||
      !Take(aJson, "zone", aTo.mZone.mValue) ||
      !Take(aJson, "rack", aTo.mRack.mValue) ||
      !Take(aJson, "address", aTo.mAddress) ||
      !TakeCapacity(aJson, aTo.mCapacity)) {
    return false;
  }
  const auto leaving = aJson.find("leaving");
  if (leaving == aJson.end()) {
    return true;
  }
  aTo.mLeaving = leaving->is_boolean() && leaving->get<bool>();
  return leaving->is_boolean();
}

bool
TakeCondition(const Json& aJson, RowCondition& aTo)
{
  return aJson.is_object() && Take(aJson, "key", aTo.mKey) &&
         Take(aJson, "version", aTo.mVersion);
}

bool
TakeMutation(const Json& aJson, RowMutation& aTo)
{
  if (!aJson.is_object() || !Take(aJson, "key", aTo.mKey)) {
    return false;
  }
  if (!aJson.contains("value")) {
    return true;
  }
  aTo.mValue.emplace();
  return TakeBytes(aJson, "value", *aTo.mValue);
}

bool
TakeVersion(const Json& aJson, RowVersion& aTo)
{
  return aJson.is_object() && Take(aJson, "key", aTo.mKey) &&
         Take(aJson, "version", aTo.mVersion);
}

bool
TakeRow(const Json& aJson, TableRow& aTo)
{
  return aJson.is_object() && Take(aJson, "key", aTo.mKey) &&
         TakeBytes(aJson, "value", aTo.mValue) &&
         Take(aJson, "version", aTo.mVersion);
}

template<typename Item>
bool
TakeList(const Json& aObject,
         const char* aName,
         bool (*aTakeItem)(const Json&, Item&),
         std::vector<Item>& aTo)
{
  const auto at = aObject.find(aName);
  if (at == aObject.end() || !at->is_array()) {
    return false;
  }
  aTo.reserve(at->size());
  for (const Json& json : *at) {
    if (!aTakeItem(json, aTo.emplace_back())) {
      return false;
    }
  }
  return true;
}

} // namespace

absl::StatusOr<std::string>
EncodeTransaction(const Transaction& aTransaction)
{
  Json conditions = Json::array();
  for (const RowCondition& condition : aTransaction.mConditions) {
    conditions.push_back(
      { { "key", condition.mKey }, { "version", condition.mVersion } });
  }
  Json mutations = Json::array();
  for (const RowMutation& mutation : aTransaction.mMutations) {
    Json json{ { "key", mutation.mKey } };
    if (mutation.mValue) {
      json["value"] = absl::Base64Escape(*mutation.mValue);
    }
    mutations.push_back(std::move(json));
  }
  const Json json{ { "conditions", std::move(conditions) },
                   { "mutations", std::move(mutations) } };
  try {
    return json.dump();
  } catch (const Json::exception&) {
    return absl::InvalidArgumentError("a row key is not UTF-8");
  }
}

absl::StatusOr<Transaction>
DecodeTransaction(std::string_view aJson)
{
  const Json json = Parse(aJson);
  Transaction transaction;
  if (!json.is_object() ||
      !TakeList(json, "conditions", TakeCondition, transaction.mConditions) ||
      !TakeList(json, "mutations", TakeMutation, transaction.mMutations)) {
    return Malformed("transaction");
  }
  return transaction;
}

std::string
EncodeCommitResult(const CommitResult& aResult)
{
  Json rows = Json::array();
  for (const RowVersion& row : aResult.mRows) {
    rows.push_back({ { "key", row.mKey }, { "version", row.mVersion } });
  }
  return Json{ { "rows", std::move(rows) } }.dump();
}

absl::StatusOr<CommitResult>
DecodeCommitResult(std::string_view aJson)
{
  const Json json = Parse(aJson);
  CommitResult result;
  if (!json.is_object() || !TakeList(json, "rows", TakeVersion, result.mRows)) {
    return Malformed("commit result");
  }
  return result;
}

std::string
EncodeRows(const std::vector<TableRow>& aRows)
{
  Json rows = Json::array();
  for (const TableRow& row : aRows) {
    rows.push_back({ { "key", row.mKey },
                     { "value", absl::Base64Escape(row.mValue) },
                     { "version", row.mVersion } });
  }
  return Json{ { "rows", std::move(rows) } }.dump();
}

absl::StatusOr<std::vector<TableRow>>
DecodeRows(std::string_view aJson)
{
  const Json json = Parse(aJson);
  std::vector<TableRow> rows;
  if (!json.is_object() || !TakeList(json, "rows", TakeRow, rows)) {
    return Malformed("rows");
  }
  return rows;
}

std::string
EncodeHosts(const std::vector<HostEntry>& aHosts)
{
  Json hosts = Json::array();
  for (const HostEntry& host : aHosts) {
    hosts.push_back({ { "worker", host.mWorker.mValue },
                      { "zone", host.mZone.mValue },
                      { "rack", host.mRack.mValue },
                      { "address", host.mAddress },
                      { "capacity",
                        { { "millicores", host.mCapacity.mMilliCores },
                          { "memory_mib", host.mCapacity.mMemoryMiB },
                          { "accelerators", host.mCapacity.mAccelerators },
                          { "slots", host.mCapacity.mSlots } } },
                      { "leaving", host.mLeaving } });
  }
  return Json{ { "hosts", std::move(hosts) } }.dump();
}

absl::StatusOr<std::vector<HostEntry>>
DecodeHosts(std::string_view aJson)
{
  Json json = Parse(aJson);
  if (json.is_array()) {
    json = Json{ { "hosts", std::move(json) } };
  }
  std::vector<HostEntry> hosts;
  if (!json.is_object() || !TakeList(json, "hosts", TakeHost, hosts)) {
    return Malformed("host list");
  }
  return hosts;
}

} // namespace oriolevane::store
