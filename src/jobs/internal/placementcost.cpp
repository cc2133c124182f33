#include "jobs/internal/placementcost.h"

#include "workerspeed/speedpreference.h"

namespace oriolevane::jobs {

namespace {

// Added to the cost of workers that are not known to be fast, for members of
// gangs. It is more than the other terms of workers that are neither remote nor
// very slow.
constexpr double kGangSpeedCost = 3.0;
// Workers with a higher slowness than this are used last.
constexpr double kSlowWorkerThreshold = 2.5;
// For single tasks, makes a difference of speed weigh more than one of free
// capacity, which costs up to 2.
constexpr double kSpeedCostWeight = 10.0;

} // namespace

double
PlacementCost::Of(const Worker& aWorker,
                  const StepSpec& aSpec,
                  Duration aSlack) const
{
  const Resources left = aWorker.mEntry.mCapacity - aWorker.mUsed;
  const auto share = [](std::int64_t aLeft, std::int64_t aOf) {
    return aOf <= 0 ? 0.0
                    : static_cast<double>(aLeft) / static_cast<double>(aOf);
  };
  // Prefers the fullest worker that has room, which keeps the others free for
  // large tasks.
  double cost = share(left.mMilliCores, aWorker.mEntry.mCapacity.mMilliCores) +
                share(left.mMemoryMiB, aWorker.mEntry.mCapacity.mMemoryMiB);
  if (!aSpec.mDataRack.empty() &&
      aSpec.mDataRack != aWorker.mEntry.mRack.mValue) {
    cost += 10 * mRemoteFactor;
  }
  if (aWorker.mHealth.mSlowness > kSlowWorkerThreshold) {
    cost += 10 * aWorker.mHealth.mSlowness;
  }
  return cost + SpeedCostOf(aWorker, aSpec, aSlack);
}

double
PlacementCost::SpeedCostOf(const Worker& aWorker,
                           const StepSpec& aSpec,
                           Duration aSlack) const
{
  const WorkerHealth& health = aWorker.mHealth;
  if (aSpec.mGang) {
    const bool avoided =
      mSpeedsKnown && health.mRunTime.Speed() != workerspeed::WorkerSpeed::Fast;
    return avoided ? kGangSpeedCost : 0;
  }
  if (!mSpeedsDiffer) {
    return 0;
  }
  return kSpeedCostWeight *
         workerspeed::SpeedCost(
           { .mExpected = aSpec.mEstimate, .mSlack = aSlack },
           health.mTimeFactor);
}

} // namespace oriolevane::jobs
