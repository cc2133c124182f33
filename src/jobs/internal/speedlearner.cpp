#include "jobs/internal/speedlearner.h"

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

// A moved task was worth moving when its second run took no more than this
// multiple of the time that was expected.
constexpr double kMaxHelpedFactor = 1.6;

} // namespace

void
SpeedLearner::OnRunSucceeded(const Worker& aWorker,
                             Job& aJob,
                             const Run& aRun,
                             TimePoint aNow)
{
  const StepKey& key = aRun.mTask.mStep;
  const Task& task = *aJob.FindTask(aRun.mTask);
  Step& step = *aJob.FindStep(key.mOccurrence, key.mStep);
  const std::vector<Duration> running =
    RunningTimes(mCell.mFleet, step, &aRun, aNow);
  const Duration taken = aNow - aRun.mOrderedAt;
  if (task.mStraggledOn != WorkerId()) {
    const std::optional<Duration> typical = step.mRunTimes.Typical(running);
    const Duration expected =
      typical.value_or(aJob.mRecord.mSpec.mSteps[key.mStep].mEstimate);
    mCell.mStragglerPolicy.RecordOutcome(
      taken <= expected * (kMaxHelpedFactor * aWorker.mHealth.mTimeFactor));
  }
  // A gang's tasks end together, and a run from a checkpoint is shorter.
  if (aJob.mRecord.mSpec.mSteps[key.mStep].mGang || aRun.mResumed) {
    return;
  }
  mCell.mEstimateAccuracy[aJob.mRecord.mQueue.mName].AddRun(
    aJob.mRecord.mSpec.mSteps[key.mStep].mEstimate,
    workerspeed::OnMeanWorker(taken, aWorker.mHealth.mTimeFactor));
  step.mRunTimes.AddEnded(
    aWorker.Id().mValue, taken, aWorker.mHealth.mTimeFactor);
  for (const workerspeed::SpeedSample& sample :
       step.mRunTimes.TakeSamples(running)) {
    Worker* worker = mCell.mFleet.Find(WorkerId(sample.mWorker));
    if (worker != nullptr) {
      worker->mHealth.mRunTime.AddSample(sample.mRatio);
    }
  }
}

std::vector<Duration>
RunningTimes(Fleet& aFleet,
             const Step& aStep,
             const Run* aExcept,
             TimePoint aNow)
{
  std::vector<Duration> times;
  for (const Task& task : aStep.mTasks) {
    for (const RunPointer& run : task.mRuns) {
      const Worker* worker = aFleet.Find(run->mWorker);
      if (run.get() != aExcept && !run->mAdopted && !run->mResumed &&
          worker != nullptr) {
        times.push_back(workerspeed::OnMeanWorker(aNow - run->mOrderedAt,
                                                  worker->mHealth.mTimeFactor));
      }
    }
  }
  return times;
}

} // namespace oriolevane::jobs
