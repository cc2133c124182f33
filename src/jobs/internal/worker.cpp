#include "jobs/internal/worker.h"

#include <algorithm>

namespace oriolevane::jobs {

Run*
Worker::FindRun(const TaskKey& aTask, RunNumber aNumber) const
{
  const auto found =
    std::find_if(mRuns.begin(), mRuns.end(), [&](const RunPointer& aRun) {
      return aRun->mNumber == aNumber && aRun->mTask == aTask;
    });
  return found == mRuns.end() ? nullptr : found->get();
}

void
Worker::AddRun(RunPointer aRun)
{
  mUsed += aRun->mResources;
  mSuspectedRuns += aRun->mSuspected ? 1 : 0;
  mRuns.push_back(std::move(aRun));
}

void
Worker::RemoveRun(const Run* aRun)
{
  const auto found =
    std::find_if(mRuns.begin(), mRuns.end(), [&](const RunPointer& aEntry) {
      return aEntry.get() == aRun;
    });
  if (found == mRuns.end()) {
    return;
  }
  mUsed -= (*found)->mResources;
  mSuspectedRuns -= (*found)->mSuspected ? 1 : 0;
  mRuns.erase(found);
}

void
Worker::InterruptRuns()
{
  const crashes::CrashEvidence evidence = Evidence();
  for (const RunPointer& run : mRuns) {
    run->mPhase = RunPhase::Uncertain;
    // A later process that does not list the run has not got it.
    if (!run->mFormerEndsBy.has_value() || !run->mAbsentSince.has_value()) {
      run->mFormerEndsBy = mLease.RunsEndBy();
    }
    run->mAbsentSince.reset();
    if (!mEntry.mDraining && !run->mInterrupted.has_value()) {
      run->mInterrupted = run->Evidence(evidence);
    }
  }
}

bool
Worker::HasRunsOfSeveralJobs() const
{
  return !mRuns.empty() &&
         RunsOfOthers(mRuns.front()->mTask.mStep.mJob).mHaveRuns;
}

crashes::CrashEvidence
Worker::Evidence() const
{
  return mFailedWithOthers || HasRunsOfSeveralJobs()
           ? crashes::CrashEvidence::SeveralJobs
           : crashes::CrashEvidence::OneJob;
}

crashes::OtherJobs
Worker::RunsOfOthers(const JobId& aJob) const
{
  crashes::OtherJobs others;
  for (const RunPointer& run : mRuns) {
    if (run->mTask.mStep.mJob != aJob) {
      others.mHaveRuns = true;
      others.mHaveSuspectedRuns |= run->mSuspected;
    }
  }
  return others;
}

bool
Worker::HasRoomFor(const Resources& aResources) const
{
  return !mHasUnknownLoad && (mUsed + aResources).FitsIn(mEntry.mCapacity);
}

} // namespace oriolevane::jobs
