#include "jobs/internal/stepprogress.h"

#include <algorithm>

namespace oriolevane::jobs {

namespace {

bool
HasNoProgress(const Task& aTask)
{
  return !aTask.mSucceeded && aTask.mFailedRuns.empty() &&
         aTask.mCheckpoint.empty() && aTask.mCrashes.Runs().empty() &&
         aTask.mLostRuns.empty();
}

// Starts that the worker did not confirm are left out, as they count less.
std::vector<LostRunProgress>
LostRunsOf(const Task& aTask)
{
  std::vector<LostRunProgress> runs;
  for (const auto& [run, lost] : aTask.mLostRuns) {
    if (lost.mEvidence != crashes::CrashEvidence::UnconfirmedStart) {
      runs.push_back(
        { .mRun = run,
          .mWorker = lost.mWorker,
          .mIncarnation = lost.mIncarnation,
          .mOnlyJob = lost.mEvidence == crashes::CrashEvidence::OneJob });
    }
  }
  return runs;
}

} // namespace

StepProgress
ProgressOf(const Step& aStep, int aNumber, int aFirst, int aEnd)
{
  StepProgress progress{ .mStep = aNumber };
  if (aFirst == 0) {
    progress.mFailedGangRuns = aStep.mFailedGangRuns;
  }
  for (int index = aFirst; index < aEnd; ++index) {
    const Task& task = aStep.mTasks[index];
    if (HasNoProgress(task)) {
      continue;
    }
    progress.mTasks.push_back({ .mIndex = index,
                                .mSucceeded = task.mSucceeded,
                                .mFailedRuns = task.mFailedRuns,
                                .mLastRun = task.mLastRun,
                                .mCheckpoint = task.mCheckpoint,
                                .mCrashedRuns = task.mCrashes.Runs(),
                                .mLostRuns = LostRunsOf(task) });
  }
  return progress;
}

void
ApplyProgress(Step& aStep, const StepProgress& aProgress)
{
  aStep.mFailedGangRuns.insert(aProgress.mFailedGangRuns.begin(),
                               aProgress.mFailedGangRuns.end());
  for (const TaskProgress& saved : aProgress.mTasks) {
    if (saved.mIndex < 0 ||
        saved.mIndex >= static_cast<int>(aStep.mTasks.size())) {
      continue;
    }
    Task& task = aStep.mTasks[saved.mIndex];
    task.mSucceeded = saved.mSucceeded;
    task.mFailedRuns = saved.mFailedRuns;
    task.mLastRun = saved.mLastRun;
    task.mCheckpoint = saved.mCheckpoint;
    task.mCrashes = crashes::TaskCrashes(saved.mCrashedRuns);
    for (const LostRunProgress& lost : saved.mLostRuns) {
      task.mCrashes.AddLoss(lost.mRun);
      task.mLostRuns[lost.mRun] = { .mWorker = lost.mWorker,
                                    .mIncarnation = lost.mIncarnation,
                                    .mEvidence =
                                      lost.mOnlyJob
                                        ? crashes::CrashEvidence::OneJob
                                        : crashes::CrashEvidence::SeveralJobs };
    }
  }
  aStep.mSucceeded = static_cast<int>(std::count_if(
    aStep.mTasks.begin(), aStep.mTasks.end(), [](const Task& aTask) {
      return aTask.mSucceeded;
    }));
}

} // namespace oriolevane::jobs
