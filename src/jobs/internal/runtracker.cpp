#include "jobs/internal/runtracker.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// Size of the range of run numbers of one epoch. The numbers of a later owner
// start above all that an earlier owner can have reached.
constexpr std::uint64_t kRunNumbersPerEpoch = 1000;
constexpr std::chrono::milliseconds kStopResendDelay = 400ms;
// Number of start orders without an answer after which a run counts as
// uncertain.
constexpr int kMaxStartOrders = 3;

} // namespace

RunNumber
RunTracker::NextRunNumber(const Task& aTask) const
{
  const std::uint64_t floor =
    (mCell.mOptions.mEpoch.mValue - 1) * kRunNumbersPerEpoch;
  return RunNumber(std::max(aTask.mLastRun.mValue, floor) + 1);
}

void
RunTracker::Start(Job& aJob,
                  const TaskKey& aKey,
                  RunNumber aNumber,
                  Worker& aWorker,
                  const std::string& aTicket,
                  const std::string& aCheckpoint,
                  TimePoint aNow)
{
  const std::optional<WorkerTime> lease =
    mCell.mFleet.GrantLease(aWorker, aNow);
  Task& task = *aJob.FindTask(aKey);
  auto run = std::make_shared<Run>();
  run->mTask = aKey;
  run->mNumber = aNumber;
  run->mWorker = aWorker.Id();
  const StepSpec& spec = aJob.mRecord.mSpec.mSteps[aKey.mStep.mStep];
  run->mResources = spec.mResources;
  run->mLongRunning = spec.mLongRunning;
  run->mTeam = aJob.mRecord.mTeam;
  run->mToken = aWorker.mToken;
  run->mOrderedAt = aNow;
  run->mSuspected = task.mCrashes.IsSuspected();
  if (aCheckpoint.empty()) {
    run->mProgress = progress::RunProgress(aNow);
  }
  task.mLastRun = aNumber;
  Step& step = *aJob.FindStep(aKey.mStep.mOccurrence, aKey.mStep.mStep);
  step.mOutlivedPredecessor |= mCell.mOwnership.HadPredecessorEndedAt(aNow);
  task.mRuns.push_back(run);
  AddRun(aWorker, run);
  LogDebug("run_ordered")
    .With("task", aKey.ToText())
    .With("run", aNumber)
    .With("worker", aWorker.Id())
    .With("token", aWorker.mToken);
  mCell.mHooks.mStart({ .mWorker = aWorker.Target(),
                        .mToken = aWorker.mToken,
                        .mTask = aKey,
                        .mRun = aNumber,
                        .mPayload = aJob.mRecord.mSpec.mPayload,
                        .mCheckpoint = aCheckpoint,
                        .mTicket = aTicket,
                        .mLeaseEnd = lease.value_or(WorkerTime(0)) });
}

bool
RunTracker::ResendStart(const StartOrder& aOrder,
                        Run& aRun,
                        Worker& aWorker,
                        TimePoint aNow)
{
  const Job* job = mCell.mJobs.Find(aRun.mTask.mStep.mJob);
  const bool wanted =
    !aRun.mStopWanted && job != nullptr && job->mPhase == JobPhase::Open;
  // The capacity may have become smaller since the first order. The run itself
  // is among the used resources.
  const bool fits = aWorker.HasRoomFor({});
  if (!wanted || !fits || aWorker.mEntry.mDraining ||
      aRun.mOrdersSent >= kMaxStartOrders) {
    return false;
  }
  const std::optional<WorkerTime> lease =
    mCell.mFleet.GrantLease(aWorker, aNow);
  if (!lease.has_value()) {
    return false;
  }
  ++aRun.mOrdersSent;
  aRun.mToken = aWorker.mToken;
  StartOrder order = aOrder;
  order.mToken = aWorker.mToken;
  order.mLeaseEnd = *lease;
  order.mAttempt = aRun.mOrdersSent;
  mCell.mHooks.mStart(order);
  return true;
}

void
RunTracker::MarkRunning(Run& aRun, TimePoint aNow)
{
  if (aRun.mPhase == RunPhase::Running) {
    return;
  }
  aRun.mPhase = RunPhase::Running;
  aRun.mAbsentSince.reset();
  aRun.mInterrupted.reset();
  aRun.mConfirmedAt = aNow;
  Job* job = mCell.mJobs.Find(aRun.mTask.mStep.mJob);
  if (job != nullptr) {
    job->mStarted = true;
  }
}

Run*
RunTracker::Adopt(Worker& aWorker, const RunningTask& aRunning, TimePoint aNow)
{
  auto run = std::make_shared<Run>();
  run->mTask = aRunning.mTask;
  run->mNumber = aRunning.mRun;
  run->mWorker = aWorker.Id();
  run->mPhase = RunPhase::Running;
  run->mAdopted = true;
  run->mOrderedAt = aNow;
  run->mConfirmedAt = aNow;
  run->mProgress.Report(aRunning.mPercent, aNow);
  Job* job = mCell.mJobs.Find(aRunning.mTask.mStep.mJob);
  if (job != nullptr) {
    mCell.mJobs.OpenReportedOccurrence(*job, aRunning.mTask.mStep.mOccurrence);
  }
  Task* task = job == nullptr ? nullptr : job->FindTask(aRunning.mTask);
  run->mTeam = TeamOf(aRunning.mTask.mStep.mJob);
  if (task == nullptr) {
    run->mOrphan = true;
    aWorker.mHasUnknownLoad = true;
    AddRun(aWorker, run);
    LogWarning("unknown_run_found")
      .With("task", aRunning.mTask.ToText())
      .With("run", aRunning.mRun)
      .With("worker", aWorker.Id());
    Stop(*run, aNow);
    return run.get();
  }
  const StepSpec& spec = job->mRecord.mSpec.mSteps[aRunning.mTask.mStep.mStep];
  run->mResources = spec.mResources;
  run->mLongRunning = spec.mLongRunning;
  run->mSuspected = task->mCrashes.IsSuspected();
  AddRun(aWorker, run);
  const bool unwanted = job->mPhase != JobPhase::Open || task->mSucceeded ||
                        (!task->mRuns.empty() && !spec.mSpeculative);
  task->mRuns.push_back(run);
  task->mLastRun = std::max(task->mLastRun, aRunning.mRun);
  job->mStarted = true;
  LogInfo("run_adopted")
    .With("task", aRunning.mTask.ToText())
    .With("run", aRunning.mRun)
    .With("worker", aWorker.Id())
    .With("unwanted", unwanted);
  if (unwanted) {
    Stop(*run, aNow);
  }
  return run.get();
}

TeamId
RunTracker::TeamOf(const JobId& aJob) const
{
  if (const Job* job = mCell.mJobs.Find(aJob); job != nullptr) {
    return job->mRecord.mTeam;
  }
  const FinishedRecord* finished = mCell.mJobs.FindFinished(aJob);
  return finished == nullptr ? TeamId() : finished->mTeam;
}

void
RunTracker::AddRun(Worker& aWorker, const RunPointer& aRun)
{
  mCell.mTeams.AddRun(*aRun);
  aWorker.AddRun(aRun);
}

void
RunTracker::RemoveRun(Worker& aWorker, Run* aRun)
{
  Job* job = mCell.mJobs.Find(aRun->mTask.mStep.mJob);
  Task* task = job == nullptr ? nullptr : job->FindTask(aRun->mTask);
  const bool orphan = aRun->mOrphan;
  if (task != nullptr) {
    std::erase_if(task->mRuns, [aRun](const RunPointer& aEntry) {
      return aEntry.get() == aRun;
    });
  }
  mCell.mTeams.RemoveRun(*aRun);
  const JobId id = aRun->mTask.mStep.mJob;
  aWorker.RemoveRun(aRun);
  mCell.mIsolatedStarts.OnRunEnded(id, aWorker);
  if (orphan) {
    aWorker.mHasUnknownLoad =
      std::any_of(aWorker.mRuns.begin(),
                  aWorker.mRuns.end(),
                  [](const RunPointer& aEntry) { return aEntry->mOrphan; });
  }
  mCell.mFleet.NoteCapacityGain(aWorker);
  mCell.mDispatchWanted = true;
}

void
RunTracker::SendStop(Run& aRun, Worker& aWorker, TimePoint aNow)
{
  aRun.mStopInFlight = true;
  aRun.mNextStopAt = aNow + kStopResendDelay;
  mCell.mHooks.mStop({ .mWorker = aWorker.Target(),
                       .mToken = aWorker.mToken,
                       .mTask = aRun.mTask,
                       .mRun = aRun.mNumber });
}

void
RunTracker::Stop(Run& aRun, TimePoint aNow)
{
  if (aRun.mStopWanted) {
    return;
  }
  aRun.mStopWanted = true;
  aRun.mStopOrderedAt = aNow;
  Worker* worker = mCell.mFleet.Find(aRun.mWorker);
  if (worker != nullptr) {
    SendStop(aRun, *worker, aNow);
  }
}

void
RunTracker::StopAll(const std::vector<RunPointer>& aRuns, TimePoint aNow)
{
  for (const RunPointer& run : aRuns) {
    Stop(*run, aNow);
  }
}

void
RunTracker::StopStep(Step& aStep, TimePoint aNow)
{
  for (Task& task : aStep.mTasks) {
    StopAll(task.mRuns, aNow);
  }
}

void
RunTracker::StopJob(Job& aJob, TimePoint aNow)
{
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    for (Step& step : occurrence.mSteps) {
      StopStep(step, aNow);
    }
  }
}

void
RunTracker::StopIncompleteGangs(Job& aJob, TimePoint aNow)
{
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::size_t index = 0; index < occurrence.mSteps.size(); ++index) {
      Step& step = occurrence.mSteps[index];
      const bool complete =
        std::none_of(step.mTasks.begin(),
                     step.mTasks.end(),
                     [](const Task& aTask) { return aTask.IsWaiting(); });
      if (aJob.mRecord.mSpec.mSteps[index].mGang && !complete) {
        StopStep(step, aNow);
      }
    }
  }
}

void
RunTracker::ResendStops(TimePoint aNow)
{
  for (auto& [id, worker] : mCell.mFleet.Workers()) {
    for (const RunPointer& run : worker.mRuns) {
      if (run->mStopWanted && !run->mStopInFlight && run->mNextStopAt <= aNow) {
        SendStop(*run, worker, aNow);
      }
    }
  }
}

void
RunTracker::OnStopAnswer(const StopOrder& aOrder,
                         const OrderAnswer& aAnswer,
                         TimePoint aNow)
{
  Worker* worker = mCell.mFleet.Find(aOrder.mWorker.mId);
  if (worker == nullptr) {
    return;
  }
  Run* run = worker->FindRun(aOrder.mTask, aOrder.mRun);
  if (run == nullptr) {
    return;
  }
  run->mStopInFlight = false;
  if (aAnswer.mResult == OrderResult::Done) {
    // The end of the run arrives with one of the next reports.
    run->mNextStopAt = aNow + 2 * kStopResendDelay;
    return;
  }
  if (aAnswer.mResult == OrderResult::Fenced &&
      aOrder.mToken == worker->mToken) {
    mCell.NoteFenced(worker->Id(), aNow);
  }
}

} // namespace oriolevane::jobs
