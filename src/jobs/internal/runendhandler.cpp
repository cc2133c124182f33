#include "jobs/internal/runendhandler.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// Weight of the newest run in the moving average of a worker's slowness.
constexpr double kSlownessWeight = 0.3;

const StepSpec&
SpecOf(const Job& aJob, const StepKey& aStep)
{
  return aJob.mRecord.mSpec.mSteps[aStep.mStep];
}

// The number of failed runs that ends the job; at least one.
std::size_t
MaxAttempts(const Job& aJob)
{
  return std::max(1, aJob.mRecord.mQueue.mMaxAttempts);
}

std::string_view
ToText(EndKind aKind)
{
  switch (aKind) {
    case EndKind::Succeeded:
      return "succeeded";
    case EndKind::Failed:
      return "failed";
    case EndKind::Stopped:
      return "stopped";
    case EndKind::LeaseExpired:
      return "lease_expired";
    case EndKind::GangBroken:
      return "gang_broken";
    case EndKind::GangIncomplete:
      return "gang_incomplete";
  }
  return "stopped";
}

std::string_view
ToText(LossProof aProof)
{
  switch (aProof) {
    case LossProof::LeaseExpired:
      return "lease_expired";
    case LossProof::NotListed:
      return "not_listed";
    case LossProof::FormerLeaseExpired:
      return "former_lease_expired";
  }
  return "lease_expired";
}

} // namespace

void
RunEndHandler::OnRunEnded(Worker& aWorker,
                          const EndedTask& aEnd,
                          const Moment& aNow)
{
  Job* job = mCell.mJobs.Find(aEnd.mTask.mStep.mJob);
  Run* run = aWorker.FindRun(aEnd.mTask, aEnd.mRun);
  if (run != nullptr) {
    if (job != nullptr) {
      UpdateHealth(aWorker, *job, *run, aEnd.mKind, aNow);
    }
    mRuns.RemoveRun(aWorker, run);
  }
  const bool reported = aEnd.mSerial != 0;
  if (job != nullptr && reported) {
    job->mStarted = true;
    mCell.mJobs.OpenReportedOccurrence(*job, aEnd.mTask.mStep.mOccurrence);
  }
  const bool open = job != nullptr && job->mPhase == JobPhase::Open &&
                    job->FindTask(aEnd.mTask) != nullptr;
  // Long-running tasks that end are to start again.
  const bool restarts = open && SpecOf(*job, aEnd.mTask.mStep).mLongRunning;
  LogEvent(restarts ? LogLevel::Info : LogLevel::Debug,
           restarts ? "long_running_task_ended" : "run_ended")
    .With("task", aEnd.mTask.ToText())
    .With("run", aEnd.mRun)
    .With("worker", aWorker.Id())
    .With("end_kind", ToText(aEnd.mKind));
  if (open) {
    ApplyEnd(*job, aEnd, aNow);
  }
}

void
RunEndHandler::ApplyEnd(Job& aJob, const EndedTask& aEnd, const Moment& aNow)
{
  Task& task = *aJob.FindTask(aEnd.mTask);
  if (task.mSucceeded) {
    return;
  }
  task.mLastRun = std::max(task.mLastRun, aEnd.mRun);
  if (!aEnd.mCheckpoint.empty()) {
    task.mCheckpoint = aEnd.mCheckpoint;
  }
  const StepSpec& spec = SpecOf(aJob, aEnd.mTask.mStep);
  if (aEnd.mKind == EndKind::Succeeded && !spec.mLongRunning) {
    MarkSucceeded(aJob, aEnd.mTask, aNow);
    return;
  }
  if (aEnd.mKind == EndKind::Failed && !spec.mLongRunning) {
    RecordFailure(aJob, aEnd, aNow);
  }
  if (aJob.mPhase != JobPhase::Open) {
    return;
  }
  mCell.mJobs.MarkProgress(aEnd.mTask);
  if (spec.mGang) {
    StopGang(aJob, aEnd.mTask.mStep, aNow);
  }
}

void
RunEndHandler::MarkSucceeded(Job& aJob, const TaskKey& aKey, const Moment& aNow)
{
  Step& step = *aJob.FindStep(aKey.mStep.mOccurrence, aKey.mStep.mStep);
  const bool gang = SpecOf(aJob, aKey.mStep).mGang;
  for (std::size_t index = 0; index < step.mTasks.size(); ++index) {
    Task& task = step.mTasks[index];
    const bool covered = gang || static_cast<int>(index) == aKey.mIndex;
    if (!covered || task.mSucceeded) {
      continue;
    }
    task.mSucceeded = true;
    task.mCheckpoint.clear();
    ++step.mSucceeded;
    if (!gang) {
      // The other copies of a speculative task are not needed any more.
      mRuns.StopAll(task.mRuns, aNow.mSteady);
    }
  }
  mCell.mJobs.MarkProgress(aKey);
  mCell.mDispatchWanted = true;
  if (step.IsDone()) {
    CompareRunTimes(step);
    FinishOccurrenceIfDone(aJob, aKey.mStep.mOccurrence, aNow);
  }
}

void
RunEndHandler::RecordFailure(Job& aJob,
                             const EndedTask& aEnd,
                             const Moment& aNow)
{
  const StepKey& key = aEnd.mTask.mStep;
  Step& step = *aJob.FindStep(key.mOccurrence, key.mStep);
  Task& task = *aJob.FindTask(aEnd.mTask);
  const bool gang = SpecOf(aJob, key).mGang;
  std::set<RunNumber>& failed = gang ? step.mFailedGangRuns : task.mFailedRuns;
  if (!failed.insert(aEnd.mRun).second) {
    return;
  }
  LogInfo("run_failed")
    .With("job", aJob.Id())
    .With("task", aEnd.mTask.ToText())
    .With("run", aEnd.mRun)
    .With("failures", failed.size())
    .With("max_attempts", MaxAttempts(aJob));
  if (mCell.mConfigured && failed.size() >= MaxAttempts(aJob)) {
    CloseJob(aJob, CloseReason::FailedRuns, aNow);
  }
}

void
RunEndHandler::StopGang(Job& aJob, const StepKey& aStep, const Moment& aNow)
{
  Step* step = aJob.FindStep(aStep.mOccurrence, aStep.mStep);
  if (step != nullptr && !step->IsDone()) {
    mRuns.StopStep(*step, aNow.mSteady);
  }
}

void
RunEndHandler::FinishOccurrenceIfDone(Job& aJob,
                                      int aOccurrence,
                                      const Moment& aNow)
{
  Occurrence& occurrence = aJob.mOccurrences.at(aOccurrence);
  const bool done =
    std::all_of(occurrence.mSteps.begin(),
                occurrence.mSteps.end(),
                [](const Step& aStep) { return aStep.IsDone(); });
  if (!done || occurrence.mFinished) {
    return;
  }
  occurrence.mFinished = true;
  aJob.mWindow.Finish(aOccurrence);
  if (aJob.mRecord.mSpec.mRepetition.has_value()) {
    mCell.mJobs.MarkFinished(aJob.Id(), aOccurrence);
  }
  if (aJob.mWindow.IsComplete()) {
    CloseJob(aJob, CloseReason::Completed, aNow);
  }
}

void
RunEndHandler::CloseIfEnded(Job& aJob, const Moment& aNow)
{
  const std::size_t maxAttempts = MaxAttempts(aJob);
  const auto hasFailed = [maxAttempts](const Step& aStep) {
    return aStep.mFailedGangRuns.size() >= maxAttempts ||
           std::any_of(aStep.mTasks.begin(),
                       aStep.mTasks.end(),
                       [maxAttempts](const Task& aTask) {
                         return aTask.mFailedRuns.size() >= maxAttempts;
                       });
  };
  const auto isGivenUp = [](const Step& aStep) {
    return std::any_of(
      aStep.mTasks.begin(), aStep.mTasks.end(), [](const Task& aTask) {
        return aTask.mCrashes.IsGivenUp();
      });
  };
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    if (aJob.mPhase != JobPhase::Open) {
      return;
    }
    const std::vector<Step>& steps = occurrence.mSteps;
    if (std::any_of(steps.begin(), steps.end(), hasFailed)) {
      CloseJob(aJob, CloseReason::FailedRuns, aNow);
    } else if (std::any_of(steps.begin(), steps.end(), isGivenUp)) {
      CloseJob(aJob, CloseReason::WorkerCrashes, aNow);
    } else {
      FinishOccurrenceIfDone(aJob, number, aNow);
    }
  }
  // The earlier owner may have recorded the ends, but not the final state.
  if (aJob.mPhase == JobPhase::Open && aJob.mWindow.IsComplete()) {
    CloseJob(aJob, CloseReason::Completed, aNow);
  }
}

RecordPosition
RunEndHandler::CloseJob(Job& aJob, CloseReason aReason, const Moment& aNow)
{
  const JobState state = FinalStateOf(aReason);
  mCell.mHooks.mOnJobClosed(aReason, aNow.mSteady - aJob.mAcceptedAt);
  LogInfo("job_closed")
    .With("job", aJob.Id())
    .With("state", jobs::ToText(state))
    .With("reason", jobs::ToText(aReason))
    .With("queue", aJob.mRecord.mQueue.mName)
    .With("age_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(
            aNow.mSteady - aJob.mAcceptedAt)
            .count());
  const RecordPosition position = mCell.mJobs.Close(aJob, state, aNow);
  mCell.mDispatchWanted = true;
  if (state != JobState::Completed) {
    mRuns.StopJob(aJob, aNow.mSteady);
  }
  return position;
}

void
RunEndHandler::OnRunLost(Worker& aWorker,
                         const RunPointer& aRun,
                         LossProof aProof,
                         const Moment& aNow)
{
  LogLoss(*aRun, aProof);
  const EndedTask end{ .mSerial = 0,
                       .mTask = aRun->mTask,
                       .mRun = aRun->mNumber,
                       .mKind = EndKind::LeaseExpired,
                       .mCheckpoint = {} };
  OnRunEnded(aWorker, end, aNow);
}

void
RunEndHandler::LogLoss(const Run& aRun, LossProof aProof)
{
  LogInfo("run_lost")
    .With("task", aRun.mTask.ToText())
    .With("run", aRun.mNumber)
    .With("worker", aRun.mWorker)
    .With("proof", ToText(aProof));
}

void
RunEndHandler::OnRunNotStarted(Worker& aWorker, Run* aRun, const Moment& aNow)
{
  Job* job = mCell.mJobs.Find(aRun->mTask.mStep.mJob);
  const TaskKey key = aRun->mTask;
  mRuns.RemoveRun(aWorker, aRun);
  if (job != nullptr && job->mPhase == JobPhase::Open &&
      key.mStep.mStep < static_cast<int>(job->mRecord.mSpec.mSteps.size()) &&
      SpecOf(*job, key.mStep).mGang) {
    StopGang(*job, key.mStep, aNow);
  }
}

void
RunEndHandler::UpdateHealth(Worker& aWorker,
                            Job& aJob,
                            const Run& aRun,
                            EndKind aKind,
                            const Moment& aNow)
{
  if (aKind == EndKind::Failed) {
    mFailures.OnFailed(aWorker, aJob, aRun, aNow.mSteady);
    return;
  }
  if (aKind != EndKind::Succeeded) {
    return;
  }
  mFailures.OnSucceeded(aWorker, aJob, aRun, aNow.mSteady);
  UpdateRunTime(aWorker, aJob, aRun, aNow.mSteady);
}

void
RunEndHandler::UpdateRunTime(Worker& aWorker,
                             Job& aJob,
                             const Run& aRun,
                             TimePoint aNow)
{
  const Task* task = aJob.FindTask(aRun.mTask);
  if (aRun.mAdopted || task == nullptr) {
    return;
  }
  WorkerHealth& health = aWorker.mHealth;
  const Duration taken = aNow - aRun.mOrderedAt;
  const StepSpec& spec = SpecOf(aJob, aRun.mTask.mStep);
  if (spec.mEstimate > 0ms) {
    const double ratio = std::chrono::duration<double>(taken) /
                         std::chrono::duration<double>(spec.mEstimate);
    health.mSlowness =
      (1 - kSlownessWeight) * health.mSlowness + kSlownessWeight * ratio;
  }
  // A gang's tasks end together, and a run from a checkpoint is shorter.
  if (spec.mGang || !task->mCheckpoint.empty()) {
    return;
  }
  const StepKey& key = aRun.mTask.mStep;
  aJob.FindStep(key.mOccurrence, key.mStep)
    ->mRunTimes.emplace_back(aWorker.Id(), taken);
}

void
RunEndHandler::CompareRunTimes(const Step& aStep)
{
  std::vector<Worker*> workers;
  std::vector<TaskRunTime> times;
  for (const auto& [id, time] : aStep.mRunTimes) {
    Worker* worker = mCell.mFleet.Find(id);
    if (worker != nullptr) {
      workers.push_back(worker);
      times.push_back(
        { .mTime = time, .mWorkerFactor = worker->mHealth.mRunTime.Factor() });
    }
  }
  const std::vector<double> ratios = RelativeTimes(times);
  for (std::size_t index = 0; index < ratios.size(); ++index) {
    workers[index]->mHealth.mRunTime.AddSample(ratios[index]);
  }
}

} // namespace oriolevane::jobs
