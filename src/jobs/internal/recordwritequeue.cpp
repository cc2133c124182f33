#include "jobs/recordwritequeue.h"

#include <algorithm>

namespace oriolevane::jobs {

RecordPosition
RecordWriteQueue::Mark(RecordKey aKey)
{
  ++mNewest.mValue;
  mRemovals.erase(aKey);
  if (mWaitingKeys.insert(aKey).second) {
    mWaiting.push_back({ .mKey = std::move(aKey), .mFirstChange = mNewest });
  }
  return mNewest;
}

RecordPosition
RecordWriteQueue::MarkInsteadOf(RecordKey aKey, const RecordKey& aReplaced)
{
  if (mWaitingKeys.contains(aKey) || mWaitingKeys.erase(aReplaced) == 0) {
    return Mark(std::move(aKey));
  }
  ++mNewest.mValue;
  mRemovals.erase(aKey);
  mWaitingKeys.insert(aKey);
  // The entry keeps its place and its first change, so that the change of the
  // replaced record counts as written only when this record is.
  const auto entry = std::find_if(
    mWaiting.begin(), mWaiting.end(), [&aReplaced](const Entry& aEntry) {
      return aEntry.mKey == aReplaced;
    });
  entry->mKey = std::move(aKey);
  return mNewest;
}

void
RecordWriteQueue::Remove(const RecordKey& aKey)
{
  // A queued record needs no removal: whether it is written or removed depends
  // on its value when the batch is written.
  if (!mWaitingKeys.contains(aKey) && mWritten.contains(aKey)) {
    mRemovals.insert(aKey);
  }
}

void
RecordWriteQueue::NoteWritten(RecordKey aKey)
{
  mWritten.insert(std::move(aKey));
}

bool
RecordWriteQueue::Withdraw(const RecordKey& aKey)
{
  if (mWaitingKeys.erase(aKey) == 0) {
    return false;
  }
  std::erase_if(mWaiting,
                [&aKey](const Entry& aEntry) { return aEntry.mKey == aKey; });
  return true;
}

std::vector<RecordKey>
RecordWriteQueue::TakeBatch(std::size_t aMaxRecords)
{
  std::vector<RecordKey> batch;
  while (!mWaiting.empty() && batch.size() < aMaxRecords) {
    mWaitingKeys.erase(mWaiting.front().mKey);
    mWritten.insert(mWaiting.front().mKey);
    batch.push_back(std::move(mWaiting.front().mKey));
    mWaiting.pop_front();
  }
  while (!mRemovals.empty() && batch.size() < aMaxRecords) {
    batch.push_back(std::move(mRemovals.extract(mRemovals.begin()).value()));
    mWritten.erase(batch.back());
  }
  mBatchPosition = mNewest;
  if (!mWaiting.empty()) {
    mBatchPosition = RecordPosition(mWaiting.front().mFirstChange.mValue - 1);
  }
  return batch;
}

RecordPosition
RecordWriteQueue::Confirm()
{
  mRecorded = std::max(mRecorded, mBatchPosition);
  return mRecorded;
}

} // namespace oriolevane::jobs
