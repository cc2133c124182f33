#include "jobs/internal/waitmonitor.h"

#include <algorithm>
#include <string_view>

#include "framework/log.h"
#include "jobs/internal/eligibleworkers.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// A task that is to run all the time should be away for less than this.
constexpr std::chrono::milliseconds kMaxLongRunningWait = 2000ms;
// Other steps wait for this long in a full cell, which is not logged.
constexpr std::chrono::milliseconds kMaxWaitWithRoom = 4000ms;
constexpr std::chrono::milliseconds kReportInterval = 2000ms;
constexpr int kMaxReportsPerPass = 5;

std::int64_t
Millis(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

std::string_view
ToText(ObjectiveStatus aStatus)
{
  switch (aStatus) {
    case ObjectiveStatus::OnTime:
      return "on_time";
    case ObjectiveStatus::Late:
      return "late";
    case ObjectiveStatus::Expired:
      return "expired";
  }
  return "expired";
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
UsableAdviceOf(const Candidate& aCandidate,
               const std::vector<Worker*>& aUsable,
               TimePoint aNow)
{
  UsableAdvice advice;
  for (const Approval& approval : aCandidate.mStep->mAdvice.mApproved) {
    advice.mTickets += approval.mUsableUntil > aNow ? 1 : 0;
  }
  const std::vector<Worker*> approved = ApprovedWorkers(aCandidate, aUsable);
  advice.mApprovedWithRoom = static_cast<std::size_t>(std::count_if(
    approved.begin(), approved.end(), [&aCandidate](const Worker* aWorker) {
      return aWorker->HasRoomFor(aCandidate.Spec().mResources);
    }));
  return advice;
}

// The number of steps of the same queue that are considered before a step.
std::ptrdiff_t
PlaceInQueue(const std::vector<Candidate>& aCandidates, std::size_t aIndex)
{
  const QueueName& queue = aCandidates[aIndex].mJob->mRecord.mQueue.mName;
  return std::count_if(aCandidates.begin(),
                       aCandidates.begin() +
                         static_cast<std::ptrdiff_t>(aIndex),
                       [&queue](const Candidate& aOther) {
                         return aOther.mJob->mRecord.mQueue.mName == queue;
                       });
}

} // namespace

void
WaitMonitor::Observe(const std::vector<Candidate>& aCandidates,
                     const UsableWorkers& aUsable,
                     TimePoint aNow)
{
  mWaits = {};
  mReports = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const Step& step = *aCandidates[index].mStep;
    const StepSpec& spec = aCandidates[index].Spec();
    if (!step.HasWaitingTasks(spec)) {
      continue;
    }
    const Duration waited = aNow - *step.mWaitingSince;
    if (spec.mLongRunning) {
      ++mWaits.mSteps;
      mWaits.mLongest = std::max(mWaits.mLongest, waited);
    }
    const Duration bound =
      spec.mLongRunning ? kMaxLongRunningWait : kMaxWaitWithRoom;
    if (waited > bound && step.mNextWaitReport <= aNow) {
      ReportIfDue(aCandidates, index, aUsable, aNow);
    }
  }
}

void
WaitMonitor::ReportIfDue(const std::vector<Candidate>& aCandidates,
                         std::size_t aIndex,
                         const UsableWorkers& aUsable,
                         TimePoint aNow)
{
  const Candidate& candidate = aCandidates[aIndex];
  Step& step = *candidate.mStep;
  const bool longRunning = candidate.Spec().mLongRunning;
  if (!longRunning && mReports >= kMaxReportsPerPass) {
    return;
  }
  step.mNextWaitReport = aNow + kReportInterval;
  const UsableAdvice advice =
    UsableAdviceOf(candidate, aUsable.Workers(), aNow);
  const StepAdvice& known = step.mAdvice;
  const PoolName& pool = candidate.mJob->mRecord.mQueue.mPool;
  const Resources& needed = candidate.Spec().mResources;
  const auto tasks =
    std::count_if(step.mTasks.begin(),
                  step.mTasks.end(),
                  [](const Task& aTask) { return aTask.IsWaiting(); });
  const auto withRoom = std::count_if(aUsable.Workers().begin(),
                                      aUsable.Workers().end(),
                                      [&](const Worker* aWorker) {
                                        return aWorker->mEntry.mPool == pool &&
                                               aWorker->HasRoomFor(needed);
                                      });
  if (!longRunning && advice.mApprovedWithRoom == 0 && withRoom < tasks) {
    return;
  }
  mReports += longRunning ? 0 : 1;
  LogWarning(longRunning ? "long_running_step_waits" : "step_waits")
    .With("step", candidate.mKey.ToText())
    .With("queue", candidate.mJob->mRecord.mQueue.mName)
    .With("gang", candidate.Spec().mGang)
    .With("tasks", tasks)
    .With("waited_ms", Millis(aNow - *step.mWaitingSince))
    .With("objective", ToText(candidate.mUrgency.mObjectiveStatus))
    .With("place_in_queue", PlaceInQueue(aCandidates, aIndex))
    .With("queries_pending", known.mPendingQueries)
    .With("query_age_ms",
          known.mPendingQueries > 0 ? Millis(aNow - known.mQueriedAt) : 0)
    .With("workers_asked", known.mQueried.size())
    .With("workers_approved", known.mApproved.size())
    .With("tickets_usable", advice.mTickets)
    .With("approved_with_room", advice.mApprovedWithRoom)
    .With("workers_usable", aUsable.Workers().size())
    .With("workers_with_room", withRoom)
    .With("workers_on_trial", aUsable.Trials().mWorkers)
    .With("trials_full", aUsable.Trials().mFull);
}

} // namespace oriolevane::jobs
