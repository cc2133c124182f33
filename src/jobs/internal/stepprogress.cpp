#include "jobs/internal/stepprogress.h"

#include <algorithm>

namespace oriolevane::jobs {

namespace {

bool
HasNoProgress(const Task& aTask)
{
  return !aTask.mSucceeded && aTask.mFailedRuns.empty() &&
         aTask.mCheckpoint.empty() && aTask.mCrashes.Crashes().empty() &&
         aTask.mLostRuns.empty();
}

// Starts that the worker did not confirm are left out, as they never count.
std::vector<LostRunProgress>
LostRunsOf(const Task& aTask)
{
  std::vector<LostRunProgress> runs;
  for (const auto& [run, lost] : aTask.mLostRuns) {
    if (lost.mCrash.has_value()) {
      runs.push_back({ .mRun = run,
                       .mWorker = lost.mWorker,
                       .mIncarnation = lost.mIncarnation,
                       .mEvidence = lost.mCrash->mEvidence });
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
                                .mCrashes = task.mCrashes.Crashes(),
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
    task.mCrashes = crashes::TaskCrashes(saved.mCrashes);
    for (const LostRunProgress& lost : saved.mLostRuns) {
      task.mCrashes.AddLoss(lost.mRun);
      task.mLostRuns[lost.mRun] = { .mWorker = lost.mWorker,
                                    .mIncarnation = lost.mIncarnation,
                                    .mCrash = crashes::Crash{
                                      .mWorker = lost.mWorker,
                                      .mEvidence = lost.mEvidence } };
    }
  }
  aStep.mSucceeded = static_cast<int>(std::count_if(
    aStep.mTasks.begin(), aStep.mTasks.end(), [](const Task& aTask) {
      return aTask.mSucceeded;
    }));
}

} // namespace oriolevane::jobs
