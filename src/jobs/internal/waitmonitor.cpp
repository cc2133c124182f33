#include "jobs/internal/waitmonitor.h"

#include <algorithm>

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// A task that is to run all the time should be away for less than this.
constexpr std::chrono::milliseconds kMaxLongRunningWait = 2000ms;
constexpr std::chrono::milliseconds kReportInterval = 2000ms;

std::int64_t
Millis(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

// What the policy service has said about a step, as far as it is of use now.
struct UsableAdvice
{
  std::size_t mTickets = 0;
  // Approved workers with room for a task, whether or not their ticket can
  // still be used.
  std::size_t mApprovedWithRoom = 0;
};

UsableAdvice
UsableAdviceOf(const Candidate& aCandidate, TimePoint aNow)
{
  UsableAdvice advice;
  for (const Approval& approval : aCandidate.mStep->mAdvice.mApproved) {
    const bool hasRoom =
      approval.mWorker->mWasUsable &&
      approval.mWorker->HasRoomFor(aCandidate.Spec().mResources);
    advice.mTickets += approval.mUsableUntil > aNow ? 1 : 0;
    advice.mApprovedWithRoom += hasRoom ? 1 : 0;
  }
  return advice;
}

} // namespace

void
WaitMonitor::Observe(const std::vector<Candidate>& aCandidates,
                     const std::vector<Worker*>& aUsable,
                     TimePoint aNow)
{
  mWaits = {};
  for (const Candidate& candidate : aCandidates) {
    Step& step = *candidate.mStep;
    const StepSpec& spec = candidate.Spec();
    if (!spec.mLongRunning || !step.HasWaitingTasks(spec)) {
      continue;
    }
    const Duration waited = aNow - *step.mWaitingSince;
    ++mWaits.mSteps;
    mWaits.mLongest = std::max(mWaits.mLongest, waited);
    if (waited > kMaxLongRunningWait && step.mNextWaitReport <= aNow) {
      step.mNextWaitReport = aNow + kReportInterval;
      Report(candidate, aUsable, aNow);
    }
  }
}

void
WaitMonitor::Report(const Candidate& aCandidate,
                    const std::vector<Worker*>& aUsable,
                    TimePoint aNow)
{
  const Step& step = *aCandidate.mStep;
  const StepAdvice& known = step.mAdvice;
  const UsableAdvice advice = UsableAdviceOf(aCandidate, aNow);
  const PoolName& pool = aCandidate.mJob->mRecord.mQueue.mPool;
  const Resources& needed = aCandidate.Spec().mResources;
  const auto tasks =
    std::count_if(step.mTasks.begin(),
                  step.mTasks.end(),
                  [](const Task& aTask) { return aTask.IsWaiting(); });
  const auto withRoom =
    std::count_if(aUsable.begin(), aUsable.end(), [&](const Worker* aWorker) {
      return aWorker->mEntry.mPool == pool && aWorker->HasRoomFor(needed);
    });
  const auto onTrial =
    std::count_if(aUsable.begin(), aUsable.end(), [](const Worker* aWorker) {
      return aWorker->mHealth.mOnTrial;
    });
  LogWarning("long_running_step_waits")
    .With("step", aCandidate.mKey.ToText())
    .With("queue", aCandidate.mJob->mRecord.mQueue.mName)
    .With("tasks", tasks)
    .With("waited_ms", Millis(aNow - *step.mWaitingSince))
    .With("queries_pending", known.mPendingQueries)
    .With("query_age_ms",
          known.mPendingQueries > 0 ? Millis(aNow - known.mQueriedAt) : 0)
    .With("workers_approved", known.mApproved.size())
    .With("tickets_usable", advice.mTickets)
    .With("approved_with_room", advice.mApprovedWithRoom)
    .With("workers_usable", aUsable.size())
    .With("workers_with_room", withRoom)
    .With("workers_on_trial", onTrial);
}

} // namespace oriolevane::jobs
