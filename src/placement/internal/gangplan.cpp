#include "placement/internal/gangplan.h"

#include <algorithm>
#include <map>

namespace oriolevane::placement {

namespace {

constexpr std::size_t kLeastSample = 128;
constexpr std::size_t kSamplePerTask = 4;
// Plans that look further ahead are not worth keeping capacity idle.
constexpr std::chrono::hours kHorizon{ 1 };

} // namespace

GangPlan::Result
GangPlan::Make(const Batch& aBatch, std::size_t aCount)
{
  const std::size_t slots = mContext.mWorkers.SlotCount();
  const std::size_t sample =
    std::min(slots, std::max(kLeastSample, kSamplePerTask * aCount));
  const std::size_t first = slots > 0 ? mContext.mRandom() % slots : 0;
  std::vector<Opening> openings;
  for (std::size_t step = 0; step < sample; ++step) {
    const auto worker = static_cast<WorkerIndex>((first + step) % slots);
    if (mContext.mLedger.At(worker).mOpen &&
        mContext.mWorkers.At(worker).mReservation.mNumber == 0) {
      AddOpenings(worker, aBatch, aCount, openings);
    }
  }
  if (openings.size() < aCount) {
    return {};
  }
  std::stable_sort(openings.begin(),
                   openings.end(),
                   [](const Opening& aLeft, const Opening& aRight) {
                     return aLeft.mAt < aRight.mAt;
                   });
  std::map<WorkerIndex, Resources> amounts;
  for (std::size_t task = 0; task < aCount; ++task) {
    amounts[openings[task].mWorker] += aBatch.mPerTask;
  }
  Result result{ .mReadyAt = openings[aCount - 1].mAt };
  for (const auto& [worker, amount] : amounts) {
    result.mParts.push_back({ .mWorker = worker, .mAmount = amount });
  }
  return result;
}

void
GangPlan::AddOpenings(WorkerIndex aWorker,
                      const Batch& aBatch,
                      std::size_t aMost,
                      std::vector<Opening>& aOpenings) const
{
  struct Ending
  {
    TimePoint mAt;
    Resources mAmount;
  };
  std::vector<Ending> endings;
  for (const AttemptIndex index : mContext.mWorkers.At(aWorker).mAttempts) {
    const Attempt& attempt = mContext.mAttempts.At(index);
    if (attempt.mCounted) {
      const TimePoint end = mPicker.LikelyEnd(attempt, attempt.mPlacedAt);
      endings.push_back(
        { .mAt = std::max(end, mContext.mNow), .mAmount = attempt.mResources });
    }
  }
  std::sort(endings.begin(),
            endings.end(),
            [](const Ending& aLeft, const Ending& aRight) {
              return aLeft.mAt < aRight.mAt;
            });
  Resources free = mContext.mLedger.At(aWorker).Free();
  std::size_t found = 0;
  TimePoint at = mContext.mNow;
  for (std::size_t next = 0; found < aMost; ++next) {
    while (found < aMost && aBatch.mPerTask.FitsIn(free)) {
      free -= aBatch.mPerTask;
      aOpenings.push_back({ .mAt = at, .mWorker = aWorker });
      ++found;
    }
    if (next >= endings.size() ||
        endings[next].mAt > mContext.mNow + kHorizon) {
      return;
    }
    at = endings[next].mAt;
    free += endings[next].mAmount;
  }
}

} // namespace oriolevane::placement
