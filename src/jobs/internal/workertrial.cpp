#include "jobs/internal/workertrial.h"

#include <algorithm>

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// A long-running task that has been at work for this long shows that its worker
// does not fail what it starts.
constexpr std::chrono::milliseconds kTrialRunTime = 2500ms;

bool
HasStayedAtWork(const Run& aRun, TimePoint aNow)
{
  return aRun.mLongRunning && aRun.mPhase == RunPhase::Running &&
         !aRun.mAbsentSince.has_value() &&
         aRun.mConfirmedAt + kTrialRunTime <= aNow;
}

} // namespace

bool
IsTrialFull(const Worker& aWorker, TimePoint aNow)
{
  const WorkerHealth& health = aWorker.mHealth;
  if (!health.IsOnTrial()) {
    return false;
  }
  return std::any_of(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const RunPointer& aRun) {
      const bool startedBefore =
        aRun->mLongRunning && aRun->mOrderedAt < *health.mTrialSince;
      return !startedBefore && !HasStayedAtWork(*aRun, aNow);
    });
}

bool
HasShownToWork(const Worker& aWorker, TimePoint aNow)
{
  const WorkerHealth& health = aWorker.mHealth;
  return std::any_of(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const RunPointer& aRun) {
      return aRun->mOrderedAt >= health.mLastFailureAt &&
             HasStayedAtWork(*aRun, aNow);
    });
}

void
ClearFailures(Worker& aWorker, TimePoint aNow)
{
  aWorker.mHealth.mFailedJobs.clear();
  EndTrial(aWorker, aNow);
}

void
EndTrial(Worker& aWorker, TimePoint aNow)
{
  WorkerHealth& health = aWorker.mHealth;
  if (!health.IsOnTrial()) {
    return;
  }
  LogInfo("worker_trial_ended")
    .With("worker", aWorker.Id())
    .With("trial_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(
            aNow - *health.mTrialSince)
            .count());
  health.mTrialSince.reset();
}

} // namespace oriolevane::jobs
