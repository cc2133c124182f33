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
  mRuns.erase(found);
}

bool
Worker::HasRoomFor(const Resources& aResources) const
{
  return !mHasUnknownLoad && (mUsed + aResources).FitsIn(mEntry.mCapacity);
}

} // namespace oriolevane::jobs
