#include "jobs/internal/crashhandler.h"

#include <string_view>
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

std::string_view
ToText(CrashProof aProof)
{
  switch (aProof) {
    case CrashProof::Restarted:
      return "restarted";
    case CrashProof::LeftRegistry:
      return "left_registry";
    case CrashProof::AddressReused:
      return "address_reused";
    case CrashProof::MissingAtTakeover:
      return "missing_at_takeover";
  }
  return "restarted";
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
    mRunEndHandler.OnRunLost(aWorker, run, LossProof::LeaseExpired, aNow);
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
  if (task == nullptr) {
    return;
  }
  task->mCrashes.AddLoss(aRun.mNumber);
  task->mLostRuns[aRun.mNumber] = { .mWorker = aWorker.Id(),
                                    .mIncarnation = aWorker.mEntry.mIncarnation,
                                    .mEvidence = aEvidence };
  aWorker.mLostRuns.emplace_back(aRun.mTask, aRun.mNumber);
  mCell.mJobs.MarkProgress(aRun.mTask);
}

void
CrashHandler::Recover(const Moment& aNow)
{
  std::vector<std::pair<TaskKey, RunNumber>> lostRuns;
  for (auto& [id, job] : mCell.mJobs.Jobs()) {
    job.ForEachTask([&lostRuns](const TaskKey& aKey, const Task& aTask) {
      for (const auto& [run, lost] : aTask.mLostRuns) {
        lostRuns.emplace_back(aKey, run);
      }
    });
  }
  for (const auto& [key, run] : lostRuns) {
    Task* task = FindUnfinishedTask(key);
    if (task == nullptr) {
      continue;
    }
    Worker* worker = mCell.mFleet.Find(task->mLostRuns.at(run).mWorker);
    if (worker != nullptr) {
      worker->mLostRuns.emplace_back(key, run);
    } else {
      // The earlier owner removed the worker, since it was gone.
      CountLoss(key, run, CrashProof::MissingAtTakeover, aNow);
    }
  }
}

void
CrashHandler::OnWorkerGone(Worker& aWorker, const Moment& aNow)
{
  if (aWorker.mEntry.mDraining) {
    ResolveLosses(aWorker, aNow);
  } else {
    CountLosses(aWorker, CrashProof::LeftRegistry, aNow);
  }
}

void
CrashHandler::OnRunAbsent(Worker& aWorker,
                          const RunPointer& aRun,
                          LossProof aProof,
                          const Moment& aNow)
{
  RunEndHandler::LogLoss(*aRun, aProof);
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
  CountCrash(aRun.mTask,
             aRun.mNumber,
             aWorker.Id(),
             *aRun.mInterrupted,
             CrashProof::Restarted,
             aNow);
}

void
CrashHandler::CountLosses(Worker& aWorker,
                          CrashProof aProof,
                          const Moment& aNow)
{
  const auto lostRuns = std::exchange(aWorker.mLostRuns, {});
  for (const auto& [task, run] : lostRuns) {
    CountLoss(task, run, aProof, aNow);
  }
}

void
CrashHandler::CountLoss(const TaskKey& aTask,
                        RunNumber aRun,
                        CrashProof aProof,
                        const Moment& aNow)
{
  Task* task = FindUnfinishedTask(aTask);
  if (task == nullptr || !task->mLostRuns.contains(aRun)) {
    return;
  }
  const LostRun lost = task->mLostRuns.at(aRun);
  task->mLostRuns.erase(aRun);
  CountCrash(aTask, aRun, lost.mWorker, lost.mEvidence, aProof, aNow);
}

void
CrashHandler::ResolveLosses(Worker& aWorker, const Moment& aNow)
{
  const auto lostRuns = std::exchange(aWorker.mLostRuns, {});
  for (const auto& [key, run] : lostRuns) {
    Task* task = FindUnfinishedTask(key);
    if (task == nullptr || !task->mLostRuns.contains(run)) {
      continue;
    }
    if (task->mLostRuns.at(run).mIncarnation < aWorker.mEntry.mIncarnation) {
      CountLoss(key, run, CrashProof::Restarted, aNow);
      continue;
    }
    task->mCrashes.RemoveLoss(run);
    task->mLostRuns.erase(run);
    mCell.mJobs.MarkProgress(key);
  }
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
CrashHandler::CountCrash(const TaskKey& aTask,
                         RunNumber aRun,
                         const WorkerId& aWorker,
                         crashes::CrashEvidence aEvidence,
                         CrashProof aProof,
                         const Moment& aNow)
{
  Task* task = FindUnfinishedTask(aTask);
  if (task == nullptr || !task->mCrashes.AddCrash(aRun, aEvidence)) {
    return;
  }
  mCell.mJobs.MarkProgress(aTask);
  const JobId& id = aTask.mStep.mJob;
  const std::size_t crashes = task->mCrashes.Runs().size();
  LogWarning("run_crashed_worker")
    .With("job", id)
    .With("task", aTask.ToText())
    .With("run", aRun)
    .With("worker", aWorker)
    .With("proof", ToText(aProof))
    .With("crashes", crashes)
    .With("confirmed", aEvidence != crashes::CrashEvidence::UnconfirmedStart);
  if (task->mCrashes.IsGivenUp()) {
    LogWarning("task_given_up")
      .With("job", id)
      .With("task", aTask.ToText())
      .With("crashes", crashes)
      .With("reason", "its workers crashed");
    mRunEndHandler.CloseJob(
      *mCell.mJobs.Find(id), CloseReason::WorkerCrashes, aNow);
  }
}

} // namespace oriolevane::jobs
