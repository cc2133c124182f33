#include "jobs/internal/crashhandler.h"

#include <utility>
#include <vector>

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

bool
MayHaveFailedTogether(const Worker& aLeft, const Worker& aRight)
{
  return !aLeft.mReachable && !aRight.mReachable && aLeft.mClock.has_value() &&
         aRight.mClock.has_value() &&
         crashes::MayHaveFailedTogether(aLeft.mClock->mReadAt,
                                        aRight.mClock->mReadAt);
}

// True when a worker has runs, but those on the other one are not all of the
// same job, so that this job cannot have caused the failure of both.
bool
HasUnrelatedFailure(const Worker& aWorker, const Worker& aOther)
{
  return !aWorker.mRuns.empty() &&
         (aOther.mRuns.empty() ||
          aOther.RunsOfOthers(aWorker.mRuns.front()->mTask.mStep.mJob)
            .mHaveRuns);
}

} // namespace

void
CrashHandler::OnUnreachable(Worker& aWorker)
{
  for (auto& [id, other] : mCell.mFleet.Workers()) {
    if (&other == &aWorker || !MayHaveFailedTogether(aWorker, other)) {
      continue;
    }
    aWorker.mFailedWithOthers |= HasUnrelatedFailure(aWorker, other);
    other.mFailedWithOthers |= HasUnrelatedFailure(other, aWorker);
  }
}

void
CrashHandler::OnLeaseExpired(Worker& aWorker, const Moment& aNow)
{
  const crashes::CrashEvidence evidence = aWorker.Evidence();
  const std::vector<RunPointer> runs = aWorker.mRuns;
  for (const RunPointer& run : runs) {
    mRunEndHandler.OnRunLost(aWorker, run, aNow);
    if (run->mInterrupted.has_value()) {
      CountInterruption(aWorker, *run, aNow);
    } else if (!aWorker.mEntry.mDraining) {
      NoteLoss(aWorker, *run, run->Evidence(evidence));
    }
  }
}

void
CrashHandler::NoteLoss(Worker& aWorker,
                       const Run& aRun,
                       crashes::CrashEvidence aEvidence)
{
  Task* task = FindUnfinishedTask(aRun.mTask);
  if (task != nullptr) {
    task->mCrashes.AddLoss(aRun.mNumber);
    aWorker.mLostRuns.push_back(
      { .mTask = aRun.mTask, .mNumber = aRun.mNumber, .mEvidence = aEvidence });
  }
}

void
CrashHandler::OnWorkerReplaced(Worker& aWorker, const Moment& aNow)
{
  OnLeaseExpired(aWorker, aNow);
  CountLosses(aWorker, aNow);
}

void
CrashHandler::OnRunAbsent(Worker& aWorker,
                          const RunPointer& aRun,
                          const Moment& aNow)
{
  mRunEndHandler.OnRunNotStarted(aWorker, aRun.get(), aNow);
  if (aRun->mInterrupted.has_value()) {
    CountInterruption(aWorker, *aRun, aNow);
  }
}

void
CrashHandler::CountInterruption(const Worker& aWorker,
                                const Run& aRun,
                                const Moment& aNow)
{
  CountCrash(aWorker.Id(),
             { .mTask = aRun.mTask,
               .mNumber = aRun.mNumber,
               .mEvidence = *aRun.mInterrupted },
             aNow);
}

void
CrashHandler::CountLosses(Worker& aWorker, const Moment& aNow)
{
  const std::vector<LostRun> lostRuns = std::exchange(aWorker.mLostRuns, {});
  for (const LostRun& run : lostRuns) {
    CountCrash(aWorker.Id(), run, aNow);
  }
}

void
CrashHandler::ForgetLosses(Worker& aWorker)
{
  for (const LostRun& run : aWorker.mLostRuns) {
    if (Task* task = FindUnfinishedTask(run.mTask); task != nullptr) {
      task->mCrashes.RemoveLoss(run.mNumber);
    }
  }
  aWorker.mLostRuns.clear();
}

Task*
CrashHandler::FindUnfinishedTask(const TaskKey& aKey)
{
  Job* job = mCell.mJobs.Find(aKey.mStep.mJob);
  if (job == nullptr || job->mPhase != JobPhase::Open) {
    return nullptr;
  }
  Task* task = job->FindTask(aKey);
  return task == nullptr || task->mSucceeded ? nullptr : task;
}

void
CrashHandler::CountCrash(const WorkerId& aWorker,
                         const LostRun& aRun,
                         const Moment& aNow)
{
  Task* task = FindUnfinishedTask(aRun.mTask);
  if (task == nullptr ||
      !task->mCrashes.AddCrash(aRun.mNumber, aRun.mEvidence)) {
    return;
  }
  mCell.mJobs.MarkProgress(aRun.mTask.mStep);
  const JobId& id = aRun.mTask.mStep.mJob;
  const std::size_t crashes = task->mCrashes.Runs().size();
  LogWarning("run_crashed_worker")
    .With("job", id)
    .With("task", aRun.mTask.ToText())
    .With("run", aRun.mNumber)
    .With("worker", aWorker)
    .With("crashes", crashes)
    .With("confirmed",
          aRun.mEvidence != crashes::CrashEvidence::UnconfirmedStart);
  if (task->mCrashes.IsGivenUp()) {
    LogWarning("task_given_up")
      .With("job", id)
      .With("task", aRun.mTask.ToText())
      .With("crashes", crashes)
      .With("reason", "its workers crashed");
    mRunEndHandler.CloseJob(*mCell.mJobs.Find(id), JobState::Failed, aNow);
  }
}

} // namespace oriolevane::jobs
