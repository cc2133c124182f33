#include "jobs/internal/stragglerhandler.h"

#include "framework/log.h"
#include "jobs/internal/speedlearner.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// A check costs as much as the smaller part of a placement pass.
constexpr std::chrono::milliseconds kCheckInterval = 50ms;
// A worker of unknown speed may be slow, and its runs no stragglers.
constexpr double kUnknownWorkerFactor = 1.7;

// The factor that a run on the worker is expected to take longer by.
double
ExpectedFactor(const WorkerHealth& aHealth)
{
  return aHealth.mRunTime.IsKnown() ? aHealth.mTimeFactor
                                    : kUnknownWorkerFactor;
}

} // namespace

void
StragglerHandler::Check(TimePoint aNow)
{
  if (aNow < mNextCheck) {
    return;
  }
  mNextCheck = aNow + kCheckInterval;
  for (auto& [id, job] : mCell.mJobs.Jobs()) {
    if (job.mPhase != JobPhase::Open) {
      continue;
    }
    for (auto& [number, occurrence] : job.mOccurrences) {
      for (std::size_t step = 0; step < occurrence.mSteps.size(); ++step) {
        const StepSpec& spec = job.mRecord.mSpec.mSteps[step];
        // A gang's tasks can only be started again together.
        if (!spec.mGang && !spec.mLongRunning &&
            !occurrence.mSteps[step].IsDone()) {
          CheckStep(job, static_cast<int>(step), occurrence.mSteps[step], aNow);
        }
      }
    }
  }
}

void
StragglerHandler::CheckStep(Job& aJob, int aStep, Step& aState, TimePoint aNow)
{
  if (!aState.HasRuns()) {
    return;
  }
  const StepSpec& spec = aJob.mRecord.mSpec.mSteps[aStep];
  // Without other runs to compare with, the estimate is used, as far as those
  // of the queue are to be relied on.
  const Duration typical =
    aState.mRunTimes.Typical(RunningTimes(mCell.mFleet, aState, nullptr, aNow))
      .value_or(std::chrono::duration_cast<Duration>(
        spec.mEstimate *
        mCell.mEstimateAccuracy[aJob.mRecord.mQueue.mName].UpperFactor()));
  for (Task& task : aState.mTasks) {
    if (task.mRuns.size() != 1 || task.mStraggledOn != WorkerId()) {
      continue;
    }
    Run& run = *task.mRuns.front();
    const Worker* worker = mCell.mFleet.Find(run.mWorker);
    if (worker == nullptr || !worker->mReachable || run.mAdopted ||
        run.mStopWanted || run.mPhase != RunPhase::Running) {
      continue;
    }
    const workerspeed::RunTiming timing{
      .mElapsed = aNow - run.mOrderedAt,
      .mExpected = std::chrono::duration_cast<Duration>(
        typical * ExpectedFactor(worker->mHealth)),
      .mExpectedElsewhere = typical,
      .mStopTime = mCell.mOptions.mMaxStopDuration / 2,
      .mCheckpointing = spec.mCheckpointing
    };
    if (mCell.mStragglerPolicy.ShouldMove(timing)) {
      Move(aJob, task, run, aNow);
    }
  }
}

void
StragglerHandler::Move(const Job& aJob, Task& aTask, Run& aRun, TimePoint aNow)
{
  LogInfo("straggler_moved")
    .With("task", aRun.mTask.ToText())
    .With("run", aRun.mNumber)
    .With("worker", aRun.mWorker)
    .With("queue", aJob.mRecord.mQueue.mName)
    .With("elapsed_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(aNow -
                                                                aRun.mOrderedAt)
            .count());
  aTask.mStraggledOn = aRun.mWorker;
  mRuns.Stop(aRun, aNow);
}

} // namespace oriolevane::jobs
