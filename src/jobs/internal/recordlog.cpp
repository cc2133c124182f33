#include "jobs/recordlog.h"

#include <algorithm>

namespace oriolevane::jobs {

RecordPosition
RecordLog::Mark(RecordKey aKey)
{
  ++mNewest.mValue;
  if (mWaitingKeys.insert(aKey).second) {
    mWaiting.push_back({ .mKey = std::move(aKey), .mFirstChange = mNewest });
  }
  return mNewest;
}

bool
RecordLog::Withdraw(const RecordKey& aKey)
{
  if (mWaitingKeys.erase(aKey) == 0) {
    return false;
  }
  std::erase_if(mWaiting,
                [&aKey](const Entry& aEntry) { return aEntry.mKey == aKey; });
  return true;
}

std::vector<RecordKey>
RecordLog::TakeBatch(std::size_t aMost)
{
  std::vector<RecordKey> batch;
  while (!mWaiting.empty() && batch.size() < aMost) {
    mWaitingKeys.erase(mWaiting.front().mKey);
    batch.push_back(std::move(mWaiting.front().mKey));
    mWaiting.pop_front();
  }
  mBatchCovers = mNewest;
  if (!mWaiting.empty()) {
    mBatchCovers = RecordPosition(mWaiting.front().mFirstChange.mValue - 1);
  }
  return batch;
}

RecordPosition
RecordLog::Confirm()
{
  mRecorded = std::max(mRecorded, mBatchCovers);
  return mRecorded;
}

} // namespace oriolevane::jobs
