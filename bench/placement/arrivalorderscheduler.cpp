#include "arrivalorderscheduler.h"

#include "baselines.h"

namespace oriolevane::bench {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxQueueScan = 1'000;

} // namespace

ArrivalOrderScheduler::ArrivalOrderScheduler(
  const Trace& aTrace,
  const std::vector<protocol::WorkerInfo>& aWorkers,
  bool aBlocking,
  TraceMetrics& aMetrics)
  : mTrace(aTrace)
  , mWorkers(aWorkers)
  , mBlocking(aBlocking)
  , mMetrics(aMetrics)
  , mSampleAt(FirstSampleTime(aTrace))
{
  for (const protocol::WorkerInfo& worker : aWorkers) {
    mFree.push_back(worker.mCapacity);
  }
}

void
ArrivalOrderScheduler::Run()
{
  for (const TraceItem& item : mTrace.mItems) {
    SampleUntil(item.mSubmitAt);
    AdvanceTo(item.mSubmitAt);
    const bool mayPass = !mBlocking || mQueue.empty();
    if (!mayPass || !PlaceItem(item, item.mSubmitAt)) {
      mQueue.push_back(&item);
    }
  }
  SampleUntil(mTrace.mLength);
}

bool
ArrivalOrderScheduler::PlaceItem(const TraceItem& aItem, milliseconds aNow)
{
  if (!ChooseWorkers(aItem)) {
    return false;
  }
  for (std::size_t task = 0; task < mChosenWorkers.size(); ++task) {
    mRunning.push({ .mEnd = aNow + aItem.mRunTime,
                    .mWorker = mChosenWorkers[task],
                    .mNeed = aItem.mPlaceTasks.mPerTask });
    mMetrics.RecordStart({ .mRequest = aItem.mPlaceTasks.mRequest,
                           .mIndex = aItem.mPlaceTasks.mIndexes[task],
                           .mAttempt = 1 },
                         aNow);
  }
  return true;
}

bool
ArrivalOrderScheduler::ChooseWorkers(const TraceItem& aItem)
{
  const Resources& need = aItem.mPlaceTasks.mPerTask;
  mChosenWorkers.clear();
  for (std::size_t task = 0; task < aItem.mPlaceTasks.mIndexes.size(); ++task) {
    const std::optional<std::size_t> worker = FirstFit(mFree, need);
    if (!worker.has_value()) {
      for (const std::size_t taken : mChosenWorkers) {
        mFree[taken] += need;
      }
      return false;
    }
    mFree[*worker] -= need;
    mChosenWorkers.push_back(*worker);
  }
  return true;
}

void
ArrivalOrderScheduler::PlaceQueued(milliseconds aNow)
{
  std::size_t scanned = 0;
  for (auto item = mQueue.begin();
       item != mQueue.end() && scanned < kMaxQueueScan;
       ++scanned) {
    if (PlaceItem(**item, aNow)) {
      item = mQueue.erase(item);
    } else if (mBlocking) {
      return;
    } else {
      ++item;
    }
  }
}

void
ArrivalOrderScheduler::AdvanceTo(milliseconds aTime)
{
  while (!mRunning.empty() && mRunning.top().mEnd <= aTime) {
    const RunningTask ended = mRunning.top();
    mRunning.pop();
    mFree[ended.mWorker] += ended.mNeed;
    PlaceQueued(ended.mEnd);
  }
}

void
ArrivalOrderScheduler::SampleUntil(milliseconds aTime)
{
  for (; mSampleAt <= aTime; mSampleAt += kSampleInterval) {
    AdvanceTo(mSampleAt);
    std::vector<Resources> used;
    used.reserve(mFree.size());
    for (std::size_t worker = 0; worker < mFree.size(); ++worker) {
      used.push_back(mWorkers[worker].mCapacity - mFree[worker]);
    }
    mMetrics.RecordUsage(used);
  }
}

} // namespace oriolevane::bench
