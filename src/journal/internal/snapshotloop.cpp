#include "journal/snapshotloop.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "framework/log.h"
#include "journal/logcodec.h"

namespace oriolevane::journal {

namespace {

constexpr std::uint32_t kMostTries = 5;
constexpr std::chrono::milliseconds kIdleStep{ 500 };

std::string
ObjectOf(const SnapshotId& aSnapshot)
{
  return SnapshotObjectName(
    aSnapshot.mPartition, aSnapshot.mEpoch, aSnapshot.mSequence);
}

bool
IsCovered(const store::TableRow& aRow, const SnapshotId& aSnapshot)
{
  const auto key = ParseLogRowKey(aRow.mKey);
  if (!key.ok() || key->mEpoch > aSnapshot.mEpoch) {
    return false;
  }
  if (key->mEpoch < aSnapshot.mEpoch) {
    return true;
  }
  const auto batch = ParseLogBatch(aRow.mValue);
  return batch.ok() && batch->mRecords.back().mSequence <= aSnapshot.mSequence;
}

} // namespace

SnapshotLoop::SnapshotLoop(JournalOptions aOptions,
                           store::TableHooks aTable,
                           store::ObjectHooks aObjects,
                           Hooks aHooks)
  : mOptions(aOptions)
  , mTable(std::move(aTable))
  , mObjects(std::move(aObjects))
  , mHooks(std::move(aHooks))
{
}

TimePoint
SnapshotLoop::Step(TimePoint aNow)
{
  if (!mUploads.empty() && aNow >= mNextUpload) {
    UploadNext(aNow);
  }
  if (!mRemovals.empty() && aNow >= mNextRemoval) {
    RemoveNext(aNow);
  }
  TimePoint next = aNow + kIdleStep;
  if (!mUploads.empty()) {
    next = std::min(next, mNextUpload);
  }
  if (!mRemovals.empty()) {
    next = std::min(next, mNextRemoval);
  }
  return next;
}

void
SnapshotLoop::Upload(Snapshot aSnapshot)
{
  mUploads.push_back(std::move(aSnapshot));
}

void
SnapshotLoop::CleanUp(const SnapshotId& aSnapshot, std::string aReplacedObject)
{
  mRemovals.push_back({ aSnapshot, std::move(aReplacedObject) });
}

void
SnapshotLoop::Discard(const SnapshotId& aSnapshot)
{
  const absl::Status status = mObjects.mRemove(ObjectOf(aSnapshot));
  if (!status.ok()) {
    LogWarning("snapshot_left_over")
      .With("object", ObjectOf(aSnapshot))
      .With("error", status.ToString());
  }
}

void
SnapshotLoop::UploadNext(TimePoint aNow)
{
  const Snapshot& snapshot = mUploads.front();
  const absl::Status status =
    mObjects.mPut(ObjectOf(snapshot.mId), snapshot.mBytes);
  ++mTries;
  if (!status.ok() && mTries < kMostTries) {
    mNextUpload = aNow + mTries * mOptions.mLongestRetryInterval;
    return;
  }
  const SnapshotId id = snapshot.mId;
  mUploads.pop_front();
  mTries = 0;
  if (status.ok()) {
    mHooks.mOnStored(id);
  } else {
    mHooks.mOnFailed({ id, status });
  }
}

void
SnapshotLoop::RemoveNext(TimePoint aNow)
{
  mNextRemoval = aNow + mOptions.mDeleteInterval;
  const Removal& removal = mRemovals.front();
  const auto more = RemoveLogRows(removal.mSnapshot);
  if (!more.ok() || *more) {
    return;
  }
  if (!removal.mReplacedObject.empty() &&
      !mObjects.mRemove(removal.mReplacedObject).ok()) {
    return;
  }
  mRemovals.pop_front();
}

absl::StatusOr<bool>
SnapshotLoop::RemoveLogRows(const SnapshotId& aSnapshot) const
{
  const auto rows =
    mTable.mScan(LogPrefix(aSnapshot.mPartition), "", mOptions.mDeletedRows);
  if (!rows.ok()) {
    return rows.status();
  }
  store::Transaction transaction;
  for (const store::TableRow& row : *rows) {
    if (!IsCovered(row, aSnapshot)) {
      break;
    }
    transaction.mMutations.push_back({ row.mKey, std::nullopt });
  }
  if (transaction.mMutations.empty()) {
    return false;
  }
  const auto result = mTable.mCommit(transaction);
  if (!result.ok()) {
    return result.status();
  }
  return true;
}

} // namespace oriolevane::journal
