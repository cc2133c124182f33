#include "jobs/internal/advicescore.h"

#include <algorithm>
#include <limits>

#include "framework/stablehash.h"

namespace oriolevane::jobs {

namespace {

// Weight of the random component in the score of a worker for a gang. It
// decides between workers whose free shares differ by less than this.
constexpr double kFreeShareJitter = 0.5;
// In the score for a gang, workers of unknown speed come behind fast ones with
// as much room, and slow ones behind all others.
constexpr double kUnknownSpeedPenalty = 0.5;
constexpr double kSlowPenalty = 2.0;
// Weight of the random component in the score of a worker for a single task,
// relative to the position in the fixed order.
constexpr double kWorkerOrderJitter = 0.1;
// Weight of the relative run time on a worker in the score for a task that
// should end soon.
constexpr double kRunTimePenalty = 4.0;
// Added to that score for workers with room. It keeps them above those without,
// however slow they are.
constexpr double kFastWorkerBonus = 16.0;
// The score of a worker that would not hold a task even if it were empty. It is
// below all others, also those of workers that exceed their capacity.
constexpr double kTooSmallScore = std::numeric_limits<double>::lowest();

double
FreeShare(const Worker& aWorker)
{
  const Resources& capacity = aWorker.mEntry.mCapacity;
  const Resources free = capacity - aWorker.mUsed;
  const auto share = [](std::int64_t aFree, std::int64_t aOf) {
    return aOf <= 0 ? 1.0
                    : static_cast<double>(aFree) / static_cast<double>(aOf);
  };
  return std::min(share(free.mMilliCores, capacity.mMilliCores),
                  share(free.mMemoryMiB, capacity.mMemoryMiB));
}

double
SpeedPenalty(WorkerSpeed aSpeed)
{
  switch (aSpeed) {
    case WorkerSpeed::Unknown:
      return kUnknownSpeedPenalty;
    case WorkerSpeed::Slow:
      return kSlowPenalty;
    case WorkerSpeed::Fast:
      return 0.0;
  }
  return 0.0;
}

} // namespace

bool
HoldsTask(const Worker& aWorker, const StepSpec& aSpec)
{
  return aSpec.mResources.FitsIn(aWorker.mEntry.mCapacity);
}

double
AdviceScore(const Worker& aWorker,
            const StepSpec& aSpec,
            const AdviceScoreOptions& aOptions)
{
  constexpr double kHashSteps = 1024.0;
  if (!HoldsTask(aWorker, aSpec)) {
    return kTooSmallScore;
  }
  const std::uint64_t hash = StableHash(aWorker.Id().mValue, aOptions.mSeed);
  const double jitter =
    static_cast<double>(hash % static_cast<std::uint64_t>(kHashSteps)) /
    kHashSteps;
  // Gangs need empty workers. Single tasks fill the workers in a fixed order,
  // so that the last ones stay empty for gangs.
  if (aSpec.mGang) {
    return FreeShare(aWorker) + kFreeShareJitter * jitter -
           (aOptions.mSpeedsKnown
              ? SpeedPenalty(aWorker.mHealth.mRunTime.Speed())
              : 0.0);
  }
  const bool hasRoom = aWorker.HasRoomFor(aSpec.mResources);
  const double room = hasRoom ? 1.0 : 0.0;
  const double order =
    room + 1.0 - aOptions.mFillPosition + kWorkerOrderJitter * jitter;
  // A fast worker without room is of no use.
  if (!aOptions.mPreferFast || !hasRoom) {
    return order;
  }
  return order + kFastWorkerBonus -
         kRunTimePenalty * aWorker.mHealth.mRunTime.Factor();
}

} // namespace oriolevane::jobs
