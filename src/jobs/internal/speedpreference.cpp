#include "jobs/internal/speedpreference.h"

namespace oriolevane::jobs {

namespace {

// A job that may wait for longer than this and still end in time does not need
// a fast worker.
constexpr std::chrono::milliseconds kMaxSlack{ 4000 };

} // namespace

bool
PrefersFastWorkers(const Job& aJob, int aStep)
{
  const StepSpec& spec = aJob.mRecord.mSpec.mSteps[aStep];
  return !spec.mGang && !spec.mLongRunning &&
         aJob.mTimes.mObjective - aJob.mTimes.mCriticalPathFrom[aStep] <=
           kMaxSlack;
}

} // namespace oriolevane::jobs
