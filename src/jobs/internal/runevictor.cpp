#include "jobs/internal/runevictor.h"

#include "draining/evictionpolicy.h"
#include "framework/log.h"
#include "jobs/internal/runforecast.h"

namespace oriolevane::jobs {

void
RunEvictor::Evict(TimePoint aNow)
{
  for (auto& [id, worker] : mCell.mFleet.Workers()) {
    if (worker.mLeavesAt.has_value()) {
      EvictFrom(worker, aNow);
    }
  }
}

void
RunEvictor::EvictFrom(Worker& aWorker, TimePoint aNow)
{
  const std::vector<RunPointer> runs = aWorker.mRuns;
  for (const RunPointer& run : runs) {
    Job* job = mCell.mJobs.Find(run->mTask.mStep.mJob);
    if (run->mStopWanted || run->mOrphan || job == nullptr) {
      continue;
    }
    const StepSpec& spec = job->mRecord.mSpec.mSteps[run->mTask.mStep.mStep];
    if (draining::ShouldEvict(
          { .mLongRunning = spec.mLongRunning,
            .mCheckpointing = spec.mCheckpointing,
            .mExpectedEnd = ExpectedEndOf(*run, spec.mEstimate) },
          *aWorker.mLeavesAt,
          mCell.mOptions.mMaxStopDuration,
          aNow)) {
      Stop(*job, *run, aNow);
    }
  }
}

void
RunEvictor::Stop(Job& aJob, Run& aRun, TimePoint aNow)
{
  LogInfo("run_evicted")
    .With("task", aRun.mTask.ToText())
    .With("run", aRun.mNumber)
    .With("worker", aRun.mWorker);
  const StepKey& key = aRun.mTask.mStep;
  if (aJob.mRecord.mSpec.mSteps[key.mStep].mGang) {
    mRuns.StopStep(*aJob.FindStep(key.mOccurrence, key.mStep), aNow);
  } else {
    mRuns.Stop(aRun, aNow);
  }
}

} // namespace oriolevane::jobs
