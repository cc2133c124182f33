#include "jobs/internal/dispatcher.h"

#include <algorithm>

#include "framework/log.h"
#include "jobs/internal/singletasklimits.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// Nothing is started when this node may renew leases for less than this time,
// as the new runs might soon lose their lease.
constexpr std::chrono::milliseconds kMinLeaseToStart = 1500ms;
// A step with a task that waits to be isolated is tried again after
// this long.
constexpr std::chrono::milliseconds kIsolationRetryDelay = 50ms;
// Once a gang has waited for this long, single tasks with ample slack are
// limited to a share of the workers.
constexpr std::chrono::milliseconds kGangWaitThreshold = 500ms;

} // namespace

void
Dispatcher::Dispatch(const Moment& aNow, bool aReconciled)
{
  mUsable.Update(aNow.mSteady);
  mAdvice.SetUsableWorkers(mUsable.Workers(), mUsable.SpeedsKnown());
  if (mCell.mOwnership.MayHaveLaterOwner() ||
      mCell.mOwnership.End() - aNow.mSteady < kMinLeaseToStart) {
    ReportSuspension(aNow.mSteady);
    return;
  }
  mSuspendedSince.reset();
  mCell.mTeams.BeginPass(mCell.mFleet);
  std::vector<Candidate> candidates = mCandidates.Collect(aNow, aReconciled);
  mNow = aNow.mSteady;
  mCell.mIsolatedStarts.BeginPass(mCell.mFleet.Workers().size(), mNow);
  mGangReservations.BeginPass(mNow);
  LimitSingleTasks(candidates);
  mCell.mSpeedPreference.BeginPass(mCandidates.GangDemand(), mUsable.Cores());
  for (const Candidate& candidate : candidates) {
    if (!QuotaAllowsStart(candidate)) {
      continue;
    }
    if (MayQuery(candidate)) {
      mAdvice.QueryIfNeeded(
        *candidate.mJob, candidate.mKey, *candidate.mStep, aNow.mSteady);
    }
    if (candidate.mStep->mNotBefore <= aNow.mSteady) {
      Place(candidate, aNow);
    }
  }
  mCell.mTeams.EndPass();
  mWaitMonitor.Observe(candidates, mUsable, mNow);
}

void
Dispatcher::ReportSuspension(TimePoint aNow)
{
  if (mSuspendedSince.has_value()) {
    return;
  }
  mSuspendedSince = aNow;
  LogInfo("starts_suspended")
    .With("later_owner", mCell.mOwnership.MayHaveLaterOwner())
    .With("ownership_left_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(
            mCell.mOwnership.End() - aNow)
            .count());
}

bool
Dispatcher::MayQuery(const Candidate& aCandidate)
{
  const QueuePolicy& queue = aCandidate.mJob->mRecord.mQueue;
  if (!queue.mAdvice.has_value()) {
    return false;
  }
  return !aCandidate.mStep->mAdvice.mAnswered ||
         mAdvice.TakeRenewal(queue, aCandidate.Spec()) ||
         (HasRoomOnApproved(aCandidate) && mAdvice.TakeRenewalWithRoom(queue));
}

bool
Dispatcher::QuotaAllowsStart(const Candidate& aCandidate)
{
  const bool onTime =
    aCandidate.mUrgency.mObjectiveStatus == ObjectiveStatus::OnTime;
  if (mCell.mTeams.AllowsStart(*aCandidate.mJob, aCandidate.Spec(), onTime)) {
    return true;
  }
  // The step does not wait for workers.
  aCandidate.mStep->mNoRoomSince.reset();
  return false;
}

void
Dispatcher::Place(const Candidate& aCandidate, const Moment& aNow)
{
  const bool gang = aCandidate.Spec().mGang;
  if (IsWorthTrying(aCandidate)) {
    mCapacityWithheld = false;
    if (gang) {
      PlaceGang(aCandidate, aNow);
    } else {
      PlaceTasks(aCandidate, aNow);
    }
  }
  if (aCandidate.mUrgency.mObjectiveStatus == ObjectiveStatus::OnTime) {
    mCell.mTeams.NoteWaiting(
      *aCandidate.mJob, *aCandidate.mStep, aCandidate.Spec(), mNow);
  }
  if (gang && !aCandidate.mStep->HasRuns() &&
      mCell.mTeams.MayReserve(*aCandidate.mJob) &&
      aCandidate.mUrgency.mObjectiveStatus == ObjectiveStatus::OnTime) {
    ReserveForGang(aCandidate);
  }
}

void
Dispatcher::ReserveForGang(const Candidate& aCandidate)
{
  const StepSpec& spec = aCandidate.Spec();
  const WorkerGroup group = GroupOf(aCandidate.mJob->mRecord.mQueue, spec);
  if (!mGangReservations.IsFull(group)) {
    aCandidate.mStep->mMayUseSlowWorkers =
      mGangReservations.Reserve(group,
                                spec,
                                ApprovedWorkers(aCandidate, mUsable.Workers()),
                                !mUsable.SpeedsKnown());
  }
}

bool
Dispatcher::HoldsBackSingleTasks(const Candidate& aCandidate) const
{
  const StepSpec& spec = aCandidate.Spec();
  return spec.mGang && !aCandidate.mJob->mRecord.mBorrows &&
         aCandidate.mUrgency.mObjectiveStatus == ObjectiveStatus::OnTime &&
         *aCandidate.mStep->mReadyAt + kGangWaitThreshold < mNow &&
         mCell.mTeams.QuotaAllows(*aCandidate.mJob, spec);
}

void
Dispatcher::LimitSingleTasks(const std::vector<Candidate>& aCandidates) const
{
  std::vector<Candidate> gangs;
  std::copy_if(aCandidates.begin(),
               aCandidates.end(),
               std::back_inserter(gangs),
               [this](const Candidate& aCandidate) {
                 return HoldsBackSingleTasks(aCandidate);
               });
  LeaveWorkersToGangs(gangs, mUsable.Workers());
}

bool
Dispatcher::IsWorthTrying(const Candidate& aCandidate) const
{
  const Step& step = *aCandidate.mStep;
  if (step.mTriedWithoutSlow && MayUseSlowWorkers(aCandidate)) {
    return true;
  }
  if (step.mTriedGeneration >= mCell.mFleet.CapacityGeneration()) {
    return false;
  }
  if (!aCandidate.mJob->mRecord.mQueue.mAdvice.has_value()) {
    return true;
  }
  return std::any_of(step.mAdvice.mApproved.begin(),
                     step.mAdvice.mApproved.end(),
                     [&step](const Approval& aApproval) {
                       return aApproval.mWorker->mGainGeneration >
                              step.mTriedGeneration;
                     });
}

void
Dispatcher::RecordFailedAttempt(Step& aStep) const
{
  if (!aStep.mNoRoomSince.has_value()) {
    aStep.mNoRoomSince = mNow;
  }
  if (!mCapacityWithheld) {
    aStep.mTriedGeneration = mCell.mFleet.CapacityGeneration();
  }
}

void
Dispatcher::PlaceTasks(const Candidate& aCandidate, const Moment& aNow)
{
  std::vector<EligibleWorker> eligible =
    CollectEligibleWorkers(aCandidate, mUsable.Workers(), aNow.mSteady);
  OpenSomeWorkers(GroupOf(aCandidate.mJob->mRecord.mQueue, aCandidate.Spec()),
                  mUsable.Workers(),
                  eligible);
  std::vector<Task>& tasks = aCandidate.mStep->mTasks;
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    if (!tasks[index].IsWaiting()) {
      continue;
    }
    if (!QuotaAllowsStart(aCandidate)) {
      return;
    }
    const EligibleWorker* choice =
      ChooseWorker(aCandidate, tasks[index], eligible);
    if (choice == nullptr) {
      RecordFailedAttempt(*aCandidate.mStep);
      if (tasks[index].mCrashes.IsSuspected()) {
        aCandidate.mStep->mNotBefore = mNow + kIsolationRetryDelay;
      }
      if (mAwaitsIsolation) {
        // The other tasks of the step need not wait for this one.
        continue;
      }
      return;
    }
    if (!aCandidate.mStep->HasRuns() && aCandidate.mStep->mSucceeded == 0) {
      ReportStepStarted(aCandidate, eligible.size(), aNow);
    }
    StartTask(aCandidate,
              static_cast<int>(index),
              mRuns.NextRunNumber(tasks[index]),
              *choice,
              tasks[index].mCheckpoint,
              aNow.mSteady);
  }
}

void
Dispatcher::ReportStepStarted(const Candidate& aCandidate,
                              std::size_t aEligible,
                              const Moment& aNow) const
{
  const auto millis = [](Duration aTime) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  };
  const Duration waited = aNow.mSteady - *aCandidate.mStep->mReadyAt;
  mCell.mHooks.mOnStepStarted(waited);
  LogInfo("step_started")
    .With("step", aCandidate.mKey.ToText())
    .With("queue", aCandidate.mJob->mRecord.mQueue.mName)
    .With("tasks", aCandidate.mStep->mTasks.size())
    .With("waited_ms", millis(waited))
    .With("slack_ms", millis(aCandidate.mUrgency.mSlack))
    .With("workers_allowed", aEligible)
    .With("workers_asked", aCandidate.mStep->mAdvice.mQueried.size());
}

bool
Dispatcher::MayUseSlowWorkers(const Candidate& aCandidate) const
{
  // A late gang has no reservation, and takes what it can get.
  return !mUsable.SpeedsKnown() || aCandidate.mStep->mMayUseSlowWorkers ||
         aCandidate.mUrgency.mObjectiveStatus != ObjectiveStatus::OnTime;
}

void
Dispatcher::PlaceGang(const Candidate& aCandidate, const Moment& aNow)
{
  std::vector<EligibleWorker> eligible =
    CollectEligibleWorkers(aCandidate, mUsable.Workers(), aNow.mSteady);
  aCandidate.mStep->mTriedWithoutSlow = !MayUseSlowWorkers(aCandidate);
  if (aCandidate.mStep->mTriedWithoutSlow) {
    std::erase_if(eligible, [](const EligibleWorker& aChoice) {
      return aChoice.mWorker->mHealth.mRunTime.IsSlow();
    });
  }
  std::vector<Task>& tasks = aCandidate.mStep->mTasks;
  const std::vector<const EligibleWorker*> chosen =
    ChooseGangWorkers(aCandidate, eligible);
  if (chosen.size() < tasks.size()) {
    RecordFailedAttempt(*aCandidate.mStep);
    return;
  }
  ReportStepStarted(aCandidate, eligible.size(), aNow);
  RunNumber number;
  std::string checkpoint;
  for (const Task& task : tasks) {
    number = std::max(number, mRuns.NextRunNumber(task));
    // All members of a gang resume from the same checkpoint.
    checkpoint = std::max(checkpoint, task.mCheckpoint);
  }
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    StartTask(aCandidate,
              static_cast<int>(index),
              number,
              *chosen[index],
              checkpoint,
              aNow.mSteady);
  }
}

void
Dispatcher::StartTask(const Candidate& aCandidate,
                      int aIndex,
                      RunNumber aNumber,
                      const EligibleWorker& aChoice,
                      const std::string& aCheckpoint,
                      TimePoint aNow)
{
  const StepSpec& spec = aCandidate.Spec();
  const TaskKey task{ .mStep = aCandidate.mKey, .mIndex = aIndex };
  if (spec.mLongRunning) {
    LogInfo("long_running_task_started")
      .With("task", task.ToText())
      .With("run", aNumber)
      .With("worker", aChoice.mWorker->Id());
  }
  aCandidate.mStep->mNoRoomSince.reset();
  mCell.mIsolatedStarts.OnStarting(aCandidate.mKey,
                                   *aCandidate.mStep,
                                   aCandidate.mStep->mTasks[aIndex],
                                   *aChoice.mWorker);
  mGangReservations.RecordPlacement(aChoice.mWorker, spec);
  mRuns.Start(*aCandidate.mJob,
              task,
              aNumber,
              *aChoice.mWorker,
              aChoice.mTicket == nullptr ? std::string() : *aChoice.mTicket,
              aCheckpoint,
              aNow);
}

} // namespace oriolevane::jobs
