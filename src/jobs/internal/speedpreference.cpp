#include "jobs/internal/speedpreference.h"

namespace oriolevane::jobs {

namespace {

// A job that may wait for longer than this and still end in time does not need
// a fast worker.
constexpr std::chrono::milliseconds kMaxSlack{ 4000 };
// Gangs need little of the cell up to this share.
constexpr double kMaxGangShare = 0.25;

} // namespace

bool
MaySpreadShortJobs(std::int64_t aGangDemand, std::int64_t aCapacity)
{
  return static_cast<double>(aGangDemand) <=
         kMaxGangShare * static_cast<double>(aCapacity);
}

bool
PrefersFastWorkers(const Job& aJob, int aStep)
{
  const StepSpec& spec = aJob.mRecord.mSpec.mSteps[aStep];
  return !spec.mGang && !spec.mLongRunning &&
         aJob.mTimes.mObjective - aJob.mTimes.mCriticalPathFrom[aStep] <=
           kMaxSlack;
}

} // namespace oriolevane::jobs
