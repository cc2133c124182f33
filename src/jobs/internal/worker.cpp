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
  for (const RunPointer& run : mRuns) {
    run->mPhase = RunPhase::Uncertain;
    // A later process that does not list the run has not got it.
    if (!run->mFormerEndsBy.has_value() || !run->mAbsentSince.has_value()) {
      run->mFormerEndsBy = mLease.RunsEndBy();
    }
    run->mAbsentSince.reset();
    if (!mEntry.mDraining && !run->mInterrupted.has_value()) {
      run->mInterrupted = StateAtCrash(*run);
    }
  }
}

bool
Worker::HasYoungRunsOfOthers(const JobId& aJob, TimePoint aNow) const
{
  return std::ranges::any_of(mRuns, [&aJob, aNow](const RunPointer& aRun) {
    return aRun->mTask.mStep.mJob != aJob && aRun->IsYoung(aNow);
  });
}

RunAtCrash
Worker::StateAtCrash(const Run& aRun) const
{
  if (!mLastAnswerAt.has_value()) {
    return { .mConfirmed = aRun.IsConfirmed() };
  }
  const bool mayBeCause =
    aRun.IsConfirmed() && !aRun.mAdopted && aRun.IsYoung(*mLastAnswerAt) &&
    !HasYoungRunsOfOthers(aRun.mTask.mStep.mJob, *mLastAnswerAt);
  return { .mLastAnswer = *mLastAnswerAt,
           .mConfirmed = aRun.IsConfirmed(),
           .mMayBeCause = mayBeCause };
}

void
Worker::ClearSuspicion(Run& aRun)
{
  mSuspectedRuns -= aRun.mSuspected ? 1 : 0;
  aRun.mSuspected = false;
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
