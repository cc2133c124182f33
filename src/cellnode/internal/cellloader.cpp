#include "cellnode/internal/cellloader.h"

#include <utility>

#include "cellnode/recordcodec.h"
#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kReadTimeout = 2500ms;
constexpr std::chrono::milliseconds kRetryPause = 80ms;

// Appends a decoded record to a list, or returns the decoding error.
template<typename Record>
absl::Status
AppendRecord(absl::StatusOr<Record> aRecord, std::vector<Record>& aList)
{
  if (!aRecord.ok()) {
    return aRecord.status();
  }
  aList.push_back(*std::move(aRecord));
  return absl::OkStatus();
}

} // namespace

CellLoader::CellLoader(eventloop::EventLoop& aLoop,
                       const RowStoreHooks& aStore,
                       std::string aPart,
                       Done aDone)
  : mLoop(aLoop)
  , mStore(aStore)
  , mPart(std::move(aPart))
  , mDone(std::move(aDone))
{
  const std::map<std::string, RowHandler> tables{
    { "jobs",
      [this](const Row& aRow) {
        return AppendRecord(DecodeJob(aRow.mValue), mRecords.mJobs);
      } },
    { "progress",
      [this](const Row& aRow) {
        return AppendRecord(DecodeProgress(aRow.mValue), mRecords.mProgress);
      } },
    { "finished",
      [this](const Row& aRow) {
        return AppendRecord(DecodeFinished(aRow.mValue), mRecords.mFinished);
      } },
    { "workers",
      [this](const Row& aRow) {
        return AppendRecord(DecodeWorker(aRow.mValue), mRecords.mWorkers);
      } }
  };
  mUnfinishedTables = static_cast<int>(tables.size());
  for (const auto& [name, handler] : tables) {
    mTables.try_emplace(
      name,
      TableRead{ .mHandler = handler,
                 .mFrom = {},
                 .mRetryTimer = mLoop.MakeTimer(
                   [this, name = name] { ReadNextPage(name); }) });
    ReadNextPage(name);
  }
}

CellLoader::~CellLoader()
{
  *mAlive = false;
}

void
CellLoader::ReadNextPage(const std::string& aTable)
{
  mStore.mRead(
    { .mTable = aTable, .mPart = mPart, .mFrom = mTables.at(aTable).mFrom },
    kReadTimeout,
    [this, alive = mAlive, aTable](const absl::StatusOr<RowPage>& aPage) {
      if (*alive) {
        OnPage(aTable, aPage);
      }
    });
}

void
CellLoader::OnPage(const std::string& aTable,
                   const absl::StatusOr<RowPage>& aPage)
{
  TableRead& table = mTables.at(aTable);
  if (!aPage.ok()) {
    LogWarning("load_failed")
      .With("table", aTable)
      .With("status", aPage.status().ToString());
    table.mRetryTimer->StartAfter(kRetryPause);
    return;
  }
  for (const Row& row : aPage->mRows) {
    const absl::Status status = table.mHandler(row);
    if (!status.ok()) {
      LogError("record_unreadable")
        .With("table", aTable)
        .With("name", row.mKey.mName)
        .With("status", status.ToString());
    }
  }
  if (aPage->mHasMore && !aPage->mRows.empty()) {
    table.mFrom = aPage->mRows.back().mKey.mName + '\x01';
    ReadNextPage(aTable);
    return;
  }
  if (--mUnfinishedTables == 0) {
    mDone(mRecords);
  }
}

} // namespace oriolevane::cellnode
