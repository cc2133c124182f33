#include "jobs/internal/usableworkers.h"

#include <algorithm>

#include "jobs/internal/workertrial.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// A worker that has left the registry is still used for this long, because the
// registry also drops live workers while the store is unavailable.
constexpr std::chrono::milliseconds kUnregisteredGracePeriod = 2500ms;
// Gangs avoid slow workers once the speed of all but this share of the workers
// is known. Before, some slow members would be left in most gangs anyway.
constexpr double kMaxUnknownSpeedShare = 0.1;

} // namespace

void
UsableWorkers::Update(TimePoint aNow)
{
  mWorkers.clear();
  mCores.clear();
  mTrials = {};
  mEntryWaits = {};
  for (auto& [id, worker] : mCell.mFleet.Workers()) {
    if (!worker.mHealth.mFailedJobs.empty() && HasShownToWork(worker, aNow)) {
      ClearFailures(worker, aNow);
    }
    const bool trialFull = IsTrialFull(worker, aNow);
    // The registry drops live workers while the store is unavailable.
    const bool registered =
      worker.mRegistered ||
      worker.mUnregisteredSince + kUnregisteredGracePeriod > aNow;
    const bool usable =
      registered && !worker.mEntryIsFormer && !worker.mEntry.mDraining &&
      worker.mRecorded && worker.mReachable && worker.mReconciled &&
      worker.mClock.has_value() && worker.mHealth.mAvoidUntil <= aNow &&
      worker.mHealth.mSuspectedUntil <= aNow && !trialFull;
    if (worker.mEntryIsFormer && worker.mReachable) {
      NoteEntryWait(worker, aNow);
    }
    if (worker.mHealth.IsOnTrial() && worker.mReachable) {
      NoteTrial(worker, trialFull, aNow);
    }
    if (usable && !worker.mWasUsable) {
      mCell.mFleet.NoteCapacityGain(worker);
    }
    worker.mWasUsable = usable;
    if (usable) {
      mWorkers.push_back(&worker);
      mCores[worker.mEntry.mPool] += worker.mEntry.mCapacity.mMilliCores;
    }
  }
  const auto unknown =
    std::count_if(mWorkers.begin(), mWorkers.end(), [](const Worker* aWorker) {
      return aWorker->mHealth.mRunTime.Speed() == WorkerSpeed::Unknown;
    });
  mSpeedsKnown = static_cast<double>(unknown) <=
                 kMaxUnknownSpeedShare * static_cast<double>(mWorkers.size());
}

void
UsableWorkers::NoteEntryWait(const Worker& aWorker, TimePoint aNow)
{
  ++mEntryWaits.mWorkers;
  mEntryWaits.mLongest =
    std::max(mEntryWaits.mLongest, aNow - *aWorker.mRestartKnownAt);
}

void
UsableWorkers::NoteTrial(const Worker& aWorker, bool aFull, TimePoint aNow)
{
  ++mTrials.mWorkers;
  mTrials.mFull += aFull ? 1 : 0;
  mTrials.mLongest =
    std::max(mTrials.mLongest, aNow - *aWorker.mHealth.mTrialSince);
}

} // namespace oriolevane::jobs
