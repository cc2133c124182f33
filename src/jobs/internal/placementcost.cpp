#include "jobs/internal/placementcost.h"

namespace oriolevane::jobs {

namespace {

// Added to the cost of workers that are not known to be fast, for members of
// gangs. It is more than the other terms of workers that are neither remote nor
// very slow.
constexpr double kGangSpeedCost = 3.0;
// Added to the cost of workers on which a suspected task could take other jobs
// down with it. It is more than all other terms of usual workers.
constexpr double kCrashRiskCost = 1000.0;
// Added to the cost of workers that crashed under the task before. A crash of
// another worker tells more about the task.
constexpr double kRepeatedCrashCost = 500.0;
// The cost of a run time that is longer by its own amount, for tasks that
// should end soon. It outweighs how full workers are.
constexpr double kRunTimeCost = 6.0;
// Workers with a higher slowness than this are used last.
constexpr double kSlowWorkerThreshold = 2.5;

} // namespace

double
PlacementCost(const Worker& aWorker,
              const StepSpec& aSpec,
              const PlacementCostOptions& aOptions)
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
    cost += 10 * aOptions.mRemoteFactor;
  }
  if (aSpec.mGang && aOptions.mSpeedsKnown &&
      aWorker.mHealth.mRunTime.Speed() != WorkerSpeed::Fast) {
    cost += kGangSpeedCost;
  }
  if (aOptions.mPreferFast) {
    cost += kRunTimeCost * aWorker.mHealth.mRunTime.Factor();
  }
  if (aWorker.mHealth.mSlowness > kSlowWorkerThreshold) {
    cost += 10 * aWorker.mHealth.mSlowness;
  }
  return cost;
}

double
CrashRiskCost(const Worker& aWorker, const JobId& aJob, const Task& aTask)
{
  const bool suspected = aTask.mCrashes.IsSuspected();
  if (!suspected && aWorker.mSuspectedRuns == 0) {
    return 0;
  }
  double cost = 0;
  if (crashes::AvoidsWorker(suspected, aWorker.RunsOfOthers(aJob))) {
    cost += kCrashRiskCost;
  }
  if (aTask.mCrashes.HasCrashed(aWorker.Id())) {
    cost += kRepeatedCrashCost;
  }
  return cost;
}

} // namespace oriolevane::jobs
