#include "placement/internal/gangplanner.h"

#include <algorithm>
#include <map>

namespace oriolevane::placement {

namespace {

// Workers in a sample: a number per task of the gang, with a minimum.
constexpr std::size_t kMinSampledWorkers = 128;
constexpr std::size_t kSampledWorkersPerTask = 4;
// Expected ends beyond this horizon are ignored: a later start is not worth
// keeping capacity idle for.
constexpr std::chrono::hours kPlanningHorizon{ 1 };

} // namespace

GangPlanner::Result
GangPlanner::Plan(const Batch& aBatch, std::size_t aCount)
{
  const std::size_t slots = mContext.mWorkers.SlotCount();
  const std::size_t sample = std::min(
    slots, std::max(kMinSampledWorkers, kSampledWorkersPerTask * aCount));
  const std::size_t first = slots > 0 ? mContext.mRandom() % slots : 0;
  std::vector<FeasibleStart> starts;
  for (std::size_t step = 0; step < sample; ++step) {
    const auto worker = static_cast<WorkerIndex>((first + step) % slots);
    if (mContext.mLedger.At(worker).mOpen &&
        mContext.mWorkers.At(worker).mReservation.mReservationId == 0) {
      AddFeasibleStarts(worker, aBatch, aCount, starts);
    }
  }
  if (starts.size() < aCount) {
    return {};
  }
  std::stable_sort(starts.begin(),
                   starts.end(),
                   [](const FeasibleStart& aLeft, const FeasibleStart& aRight) {
                     return aLeft.mAt < aRight.mAt;
                   });
  std::map<WorkerIndex, Resources> amounts;
  for (std::size_t task = 0; task < aCount; ++task) {
    amounts[starts[task].mWorker] += aBatch.mPerTask;
  }
  Result result{ .mReadyAt = starts[aCount - 1].mAt };
  for (const auto& [worker, amount] : amounts) {
    result.mParts.push_back({ .mWorker = worker, .mAmount = amount });
  }
  return result;
}

void
GangPlanner::AddFeasibleStarts(WorkerIndex aWorker,
                               const Batch& aBatch,
                               std::size_t aMaxCount,
                               std::vector<FeasibleStart>& aStarts) const
{
  struct ExpectedEnd
  {
    TimePoint mAt;
    Resources mAmount;
  };
  std::vector<ExpectedEnd> ends;
  for (const AttemptIndex index : mContext.mWorkers.At(aWorker).mAttempts) {
    const Attempt& attempt = mContext.mAttempts.At(index);
    if (attempt.mResourcesGranted) {
      const TimePoint end = mPicker.LikelyEnd(attempt, attempt.mPlacedAt);
      ends.push_back(
        { .mAt = std::max(end, mContext.mNow), .mAmount = attempt.mResources });
    }
  }
  std::sort(ends.begin(),
            ends.end(),
            [](const ExpectedEnd& aLeft, const ExpectedEnd& aRight) {
              return aLeft.mAt < aRight.mAt;
            });
  Resources free = mContext.mLedger.At(aWorker).Free();
  std::size_t found = 0;
  TimePoint at = mContext.mNow;
  for (std::size_t next = 0; found < aMaxCount; ++next) {
    while (found < aMaxCount && aBatch.mPerTask.FitsIn(free)) {
      free -= aBatch.mPerTask;
      aStarts.push_back({ .mAt = at, .mWorker = aWorker });
      ++found;
    }
    if (next >= ends.size() ||
        ends[next].mAt > mContext.mNow + kPlanningHorizon) {
      return;
    }
    at = ends[next].mAt;
    free += ends[next].mAmount;
  }
}

} // namespace oriolevane::placement
