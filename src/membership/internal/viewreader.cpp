#include "membership/internal/viewreader.h"

#include <vector>

#include "framework/log.h"
#include "membership/rowcodec.h"

namespace oriolevane::membership {

namespace {

constexpr std::size_t kPageRows = 1'000;
constexpr std::size_t kMostRows = 20'000;

absl::Status
ReadNodes(const store::TableHooks& aTable, TableView& aView)
{
  const auto rows =
    store::ScanAll(aTable, std::string(kNodePrefix), kPageRows, kMostRows);
  if (!rows.ok()) {
    return rows.status();
  }
  for (const store::TableRow& row : *rows) {
    auto content = ParseNodeRow(row.mKey, row.mValue);
    if (!content.ok()) {
      aView.mErrors.push_back(content.status().ToString());
      content = NodeRow{ .mNode = NodeId(row.mKey.substr(kNodePrefix.size())),
                         .mLeaving = true };
    }
    aView.mNodes[content->mNode] = { *content, row.mVersion };
  }
  return absl::OkStatus();
}

absl::Status
ReadOwnership(const store::TableHooks& aTable,
              std::string_view aPrefix,
              TableView& aView)
{
  const auto rows =
    store::ScanAll(aTable, std::string(aPrefix), kPageRows, kMostRows);
  if (!rows.ok()) {
    return rows.status();
  }
  for (const store::TableRow& row : *rows) {
    const auto ref = ParseOwnershipRowKey(row.mKey);
    if (!ref.ok()) {
      aView.mErrors.push_back(row.mKey + ": " + ref.status().ToString());
      continue;
    }
    const auto content = ParseOwnershipRow(row.mValue);
    if (!content.ok()) {
      aView.mErrors.push_back(row.mKey + ": " + content.status().ToString());
      aView.mUnreadable.insert(*ref);
      continue;
    }
    aView.mOwnership[*ref] = { *content, row.mVersion };
  }
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<TableView>
ReadMembershipRows(const store::TableHooks& aTable,
                   const std::function<void()>& aBetween)
{
  TableView view;
  if (absl::Status status = ReadNodes(aTable, view); !status.ok()) {
    return status;
  }
  for (const std::string_view prefix : { kPartitionPrefix, kShardPrefix }) {
    aBetween();
    absl::Status status = ReadOwnership(aTable, prefix, view);
    if (!status.ok()) {
      return status;
    }
  }
  for (const std::string& error : view.mErrors) {
    LogError("membership_row_unreadable").With("error", error);
  }
  return view;
}

} // namespace oriolevane::membership
