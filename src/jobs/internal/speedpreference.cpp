#include "jobs/internal/speedpreference.h"

namespace oriolevane::jobs {

namespace {

// A job that may wait for longer than this and still end in time does not need
// a fast worker.
constexpr std::chrono::milliseconds kMaxSlack{ 4000 };
// Gangs need little of a pool up to this share.
constexpr double kMaxGangShare = 0.25;

bool
IsShort(const Job& aJob, int aStep)
{
  const StepSpec& spec = aJob.mRecord.mSpec.mSteps[aStep];
  return !spec.mGang && !spec.mLongRunning &&
         aJob.mTimes.mObjective - aJob.mTimes.mCriticalPathFrom[aStep] <=
           kMaxSlack;
}

} // namespace

void
SpeedPreference::BeginPass(const PoolMilliCores& aGangDemand,
                           const PoolMilliCores& aCapacity)
{
  mPacked.clear();
  for (const auto& [pool, demand] : aGangDemand) {
    const auto found = aCapacity.find(pool);
    const std::int64_t capacity = found == aCapacity.end() ? 0 : found->second;
    if (static_cast<double>(demand) >
        kMaxGangShare * static_cast<double>(capacity)) {
      mPacked.insert(pool);
    }
  }
}

bool
SpeedPreference::PrefersFast(const Job& aJob, int aStep) const
{
  return IsShort(aJob, aStep) && !mPacked.contains(aJob.mRecord.mQueue.mPool);
}

} // namespace oriolevane::jobs
