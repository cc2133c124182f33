#include "jobs/internal/crashhandler.h"

#include <algorithm>
#include <iterator>
#include <string_view>

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

std::string_view
ToText(crashes::CrashEvidence aEvidence)
{
  switch (aEvidence) {
    case crashes::CrashEvidence::Inconclusive:
      return "inconclusive";
    case crashes::CrashEvidence::LoneCrash:
      return "lone_crash";
    case crashes::CrashEvidence::LoneCrashInSoundCell:
      return "lone_crash_in_sound_cell";
  }
  return "inconclusive";
}

} // namespace

crashes::WorkerFailure
CrashHandler::FailureOf(const Worker& aWorker) const
{
  return { .mWorker = aWorker.Id(),
           .mLastAnswer = aWorker.mLastAnswerAt.value_or(TimePoint()),
           .mIsolated = mCell.mIsolatedStarts.IsIsolated(aWorker.Id()) };
}

void
CrashHandler::OnUnreachable(const Worker& aWorker)
{
  if (!aWorker.mEntry.mDraining) {
    mCell.mWorkerFailures.NoteSilence(FailureOf(aWorker));
  }
  mCell.mIsolatedStarts.OnUnreachable(aWorker.Id());
}

void
CrashHandler::OnRestarted(const Worker& aWorker)
{
  mCell.mWorkerFailures.NoteRestart(FailureOf(aWorker));
  mCell.mIsolatedStarts.OnRestarted(aWorker.Id());
}

void
CrashHandler::OnLeaseExpired(Worker& aWorker, const Moment& aNow)
{
  const std::vector<RunPointer> runs = aWorker.mRuns;
  for (const RunPointer& run : runs) {
    if (run->mInterrupted.has_value()) {
      mRunEndHandler.OnRunLost(aWorker, run, LossProof::LeaseExpired, aNow);
      CountInterruption(aWorker, *run, aNow);
      continue;
    }
    if (!aWorker.mEntry.mDraining) {
      NoteLoss(aWorker, *run);
    }
    mRunEndHandler.OnRunLost(aWorker, run, LossProof::LeaseExpired, aNow);
  }
}

std::optional<crashes::Crash>
CrashHandler::CrashOf(const Worker& aWorker,
                      const Run& aRun,
                      const RunAtCrash& aState)
{
  const Task* task = FindUnfinishedTask(aRun.mTask);
  if (!aState.mConfirmed || task == nullptr) {
    return std::nullopt;
  }
  crashes::Crash crash{ .mWorker = aWorker.Id(),
                        .mLastAnswer = aState.mLastAnswer,
                        .mMayBeCause = aState.mMayBeCause };
  crash.mEvidence = EvidenceOf(*task, crash);
  return crash;
}

crashes::CrashEvidence
CrashHandler::EvidenceOf(const Task& aTask, const crashes::Crash& aCrash) const
{
  if (!aCrash.mMayBeCause) {
    return aCrash.mEvidence;
  }
  return mCell.mWorkerFailures.EvidenceOf(aCrash.mWorker,
                                          aCrash.mLastAnswer,
                                          aTask.mCrashes.Workers(),
                                          mCell.mFleet.Workers().size());
}

void
CrashHandler::NoteLoss(Worker& aWorker, const Run& aRun)
{
  Task* task = FindUnfinishedTask(aRun.mTask);
  if (task == nullptr) {
    return;
  }
  task->mCrashes.AddLoss(aRun.mNumber);
  task->mLostRuns[aRun.mNumber] = {
    .mWorker = aWorker.Id(),
    .mIncarnation = aWorker.mEntry.mIncarnation,
    .mCrash = CrashOf(aWorker, aRun, aWorker.StateAtCrash(aRun))
  };
  aWorker.mLostRuns.emplace_back(aRun.mTask, aRun.mNumber);
  mCell.mJobs.MarkProgress(aRun.mTask);
}

void
CrashHandler::Recover()
{
  for (auto& [id, job] : mCell.mJobs.Jobs()) {
    job.ForEachTask([this](const TaskKey& aKey, const Task& aTask) {
      for (const auto& [run, lost] : aTask.mLostRuns) {
        Worker* worker = mCell.mFleet.Find(lost.mWorker);
        LostRuns& runs = worker == nullptr ? mLossesOfRemoved[lost.mWorker]
                                           : worker->mLostRuns;
        runs.emplace_back(aKey, run);
      }
    });
  }
}

void
CrashHandler::OnWorkerGone(Worker& aWorker, const Moment& aNow)
{
  if (aWorker.mEntry.mDraining) {
    ResolveLosses(aWorker, aNow);
    return;
  }
  for (auto entry = mLossesOfRemoved.begin();
       entry != mLossesOfRemoved.end();) {
    std::erase_if(entry->second, [this](const auto& aLoss) {
      return FindTaskOfLoss(aLoss.first, aLoss.second) == nullptr;
    });
    entry =
      entry->second.empty() ? mLossesOfRemoved.erase(entry) : std::next(entry);
  }
  if (!aWorker.mLostRuns.empty()) {
    mLossesOfRemoved[aWorker.Id()] = std::exchange(aWorker.mLostRuns, {});
  }
}

void
CrashHandler::OnWorkerAdded(Worker& aWorker)
{
  const auto found = mLossesOfRemoved.find(aWorker.Id());
  if (found != mLossesOfRemoved.end()) {
    aWorker.mLostRuns = std::move(found->second);
    mLossesOfRemoved.erase(found);
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
CrashHandler::OnRunPresent(Worker& aWorker, Run& aRun, const Moment& aNow)
{
  if (aRun.mPhase != RunPhase::Running || aRun.IsYoung(aNow.mSteady)) {
    return;
  }
  aWorker.ClearSuspicion(aRun);
  Task* task = FindUnfinishedTask(aRun.mTask);
  if (task == nullptr || !task->mCrashes.IsSuspected()) {
    return;
  }
  LogInfo("task_cleared")
    .With("task", aRun.mTask.ToText())
    .With("run", aRun.mNumber)
    .With("worker", aWorker.Id())
    .With("crashes", task->mCrashes.Crashes().size());
  task->mCrashes.Clear();
  task->mLostRuns.clear();
  mCell.mJobs.MarkProgress(aRun.mTask);
}

void
CrashHandler::CountInterruption(const Worker& aWorker,
                                const Run& aRun,
                                const Moment& aNow)
{
  Task* task = FindUnfinishedTask(aRun.mTask);
  if (task == nullptr) {
    return;
  }
  const std::optional<crashes::Crash> crash =
    CrashOf(aWorker, aRun, *aRun.mInterrupted);
  if (!crash.has_value()) {
    // The worker may have crashed before the start reached it.
    task->mCrashes.AddLoss(aRun.mNumber);
    return;
  }
  CountCrash(aRun.mTask, aRun.mNumber, *crash, aNow);
}

void
CrashHandler::ResolveLosses(Worker& aWorker, const Moment& aNow)
{
  const auto lostRuns = std::exchange(aWorker.mLostRuns, {});
  for (const auto& [key, run] : lostRuns) {
    Task* task = FindTaskOfLoss(key, run);
    if (task == nullptr) {
      continue;
    }
    const LostRun lost = task->mLostRuns.at(run);
    task->mLostRuns.erase(run);
    mCell.mJobs.MarkProgress(key);
    if (lost.mIncarnation >= aWorker.mEntry.mIncarnation) {
      task->mCrashes.RemoveLoss(run);
    } else if (lost.mCrash.has_value()) {
      CountCrash(key, run, *lost.mCrash, aNow);
    }
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

Task*
CrashHandler::FindTaskOfLoss(const TaskKey& aTask, RunNumber aRun)
{
  Task* task = FindUnfinishedTask(aTask);
  return task == nullptr || !task->mLostRuns.contains(aRun) ? nullptr : task;
}

void
CrashHandler::CountCrash(const TaskKey& aTask,
                         RunNumber aRun,
                         const crashes::Crash& aCrash,
                         const Moment& aNow)
{
  Task* task = FindUnfinishedTask(aTask);
  if (task == nullptr || !task->mCrashes.AddCrash(aRun, aCrash)) {
    return;
  }
  ForgetEndedTasks();
  mCrashedTasks.insert(aTask);
  mCell.mJobs.MarkProgress(aTask);
  LogWarning("run_crashed_worker")
    .With("job", aTask.mStep.mJob)
    .With("task", aTask.ToText())
    .With("run", aRun)
    .With("worker", aCrash.mWorker)
    .With("crashes", task->mCrashes.Crashes().size())
    .With("evidence", ToText(aCrash.mEvidence))
    .With("may_be_cause", aCrash.mMayBeCause);
  if (task->mCrashes.IsGivenUp()) {
    GiveUp(aTask, aNow);
    ReviewCrashes(aNow);
  }
}

void
CrashHandler::GiveUp(const TaskKey& aTask, const Moment& aNow)
{
  const JobId& id = aTask.mStep.mJob;
  const auto& crashes = FindUnfinishedTask(aTask)->mCrashes.Crashes();
  LogWarning("task_given_up")
    .With("job", id)
    .With("task", aTask.ToText())
    .With("crashes", crashes.size())
    .With("reason", "its workers crashed");
  for (const auto& [run, crash] : crashes) {
    mCell.mWorkerFailures.MarkExplained(crash.mWorker, crash.mLastAnswer);
  }
  mRunEndHandler.CloseJob(
    *mCell.mJobs.Find(id), CloseReason::WorkerCrashes, aNow);
}

void
CrashHandler::ForgetEndedTasks()
{
  std::erase_if(mCrashedTasks, [this](const TaskKey& aTask) {
    const Task* task = FindUnfinishedTask(aTask);
    return task == nullptr || task->mCrashes.Crashes().empty();
  });
}

void
CrashHandler::ReviewCrashes(const Moment& aNow)
{
  for (bool changed = true; changed;) {
    const auto found =
      std::ranges::find_if(mCrashedTasks, [this](const TaskKey& aTask) {
        return ReviewTask(aTask);
      });
    changed = found != mCrashedTasks.end();
    if (changed) {
      GiveUp(*found, aNow);
    }
  }
}

bool
CrashHandler::ReviewTask(const TaskKey& aTask)
{
  Task* task = FindUnfinishedTask(aTask);
  if (task == nullptr) {
    return false;
  }
  const auto crashes = task->mCrashes.Crashes();
  for (const auto& [run, crash] : crashes) {
    if (task->mCrashes.RaiseEvidence(run, EvidenceOf(*task, crash))) {
      mCell.mJobs.MarkProgress(aTask);
    }
  }
  return task->mCrashes.IsGivenUp();
}

} // namespace oriolevane::jobs
