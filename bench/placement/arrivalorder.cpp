#include "arrivalorder.h"

#include "baselines.h"

namespace oriolevane::bench {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kLookedAt = 1'000;

} // namespace

ArrivalOrder::ArrivalOrder(const Trace& aTrace,
                           const std::vector<protocol::WorkerInfo>& aWorkers,
                           bool aBlocking,
                           Judge& aJudge)
  : mTrace(aTrace)
  , mWorkers(aWorkers)
  , mBlocking(aBlocking)
  , mJudge(aJudge)
  , mSampleAt(FirstSample(aTrace))
{
  for (const protocol::WorkerInfo& worker : aWorkers) {
    mFree.push_back(worker.mCapacity);
  }
}

void
ArrivalOrder::Run()
{
  for (const TraceItem& item : mTrace.mItems) {
    SampleUntil(item.mSubmitAt);
    AdvanceTo(item.mSubmitAt);
    const bool mayPass = !mBlocking || mQueue.empty();
    if (!mayPass || !Place(item, item.mSubmitAt)) {
      mQueue.push_back(&item);
    }
  }
  SampleUntil(mTrace.mLength);
}

bool
ArrivalOrder::Place(const TraceItem& aItem, milliseconds aNow)
{
  if (!ChooseWorkers(aItem)) {
    return false;
  }
  for (std::size_t task = 0; task < mChosen.size(); ++task) {
    mRunning.push({ .mEnd = aNow + aItem.mRunTime,
                    .mWorker = mChosen[task],
                    .mNeed = aItem.mOrder.mPerTask });
    mJudge.Started({ .mRequest = aItem.mOrder.mRequest,
                     .mIndex = aItem.mOrder.mIndexes[task],
                     .mAttempt = 1 },
                   aNow);
  }
  return true;
}

bool
ArrivalOrder::ChooseWorkers(const TraceItem& aItem)
{
  const Resources& need = aItem.mOrder.mPerTask;
  mChosen.clear();
  for (std::size_t task = 0; task < aItem.mOrder.mIndexes.size(); ++task) {
    const std::optional<std::size_t> worker = FirstFit(mFree, need);
    if (!worker.has_value()) {
      for (const std::size_t taken : mChosen) {
        mFree[taken] += need;
      }
      return false;
    }
    mFree[*worker] -= need;
    mChosen.push_back(*worker);
  }
  return true;
}

void
ArrivalOrder::PassQueue(milliseconds aNow)
{
  std::size_t seen = 0;
  for (auto item = mQueue.begin(); item != mQueue.end() && seen < kLookedAt;
       ++seen) {
    if (Place(**item, aNow)) {
      item = mQueue.erase(item);
    } else if (mBlocking) {
      return;
    } else {
      ++item;
    }
  }
}

void
ArrivalOrder::AdvanceTo(milliseconds aTime)
{
  while (!mRunning.empty() && mRunning.top().mEnd <= aTime) {
    const Running ended = mRunning.top();
    mRunning.pop();
    mFree[ended.mWorker] += ended.mNeed;
    PassQueue(ended.mEnd);
  }
}

void
ArrivalOrder::SampleUntil(milliseconds aTime)
{
  for (; mSampleAt <= aTime; mSampleAt += kSampleEvery) {
    AdvanceTo(mSampleAt);
    std::vector<Resources> used;
    used.reserve(mFree.size());
    for (std::size_t worker = 0; worker < mFree.size(); ++worker) {
      used.push_back(mWorkers[worker].mCapacity - mFree[worker]);
    }
    mJudge.Sample(used);
  }
}

} // namespace oriolevane::bench
