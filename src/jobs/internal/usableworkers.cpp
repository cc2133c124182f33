#include "jobs/internal/usableworkers.h"

#include <algorithm>

#include "workerspeed/speedpreference.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// A worker that has left the registry is still used for this long, because the
// registry also drops live workers while the store is unavailable.
constexpr std::chrono::milliseconds kUnregisteredGracePeriod = 2500ms;
// Gangs avoid slow workers once the speed of all but this share of the workers
// is known. Before, some slow members would be left in most gangs anyway.
constexpr double kMaxUnknownSpeedShare = 0.1;
// Single tasks are placed by speed once this share of the workers is known.
constexpr double kMinKnownSpeedShare = 0.3;

} // namespace

void
UsableWorkers::Update(TimePoint aNow)
{
  mWorkers.clear();
  for (auto& [id, worker] : mCell.mFleet.Workers()) {
    const bool trialFull = worker.mHealth.mOnTrial && !worker.mRuns.empty();
    // The registry drops live workers while the store is unavailable.
    const bool registered =
      worker.mRegistered ||
      worker.mUnregisteredSince + kUnregisteredGracePeriod > aNow;
    const bool usable = registered && !worker.mEntry.mDraining &&
                        worker.mRecorded && worker.mReachable &&
                        worker.mReconciled && worker.mClock.has_value() &&
                        worker.mHealth.mAvoidUntil <= aNow && !trialFull;
    if (usable && !worker.mWasUsable) {
      mCell.mFleet.NoteCapacityGain(worker);
    }
    worker.mWasUsable = usable;
    if (usable) {
      mWorkers.push_back(&worker);
    }
  }
  const auto unknown =
    std::count_if(mWorkers.begin(), mWorkers.end(), [](const Worker* aWorker) {
      return !aWorker->mHealth.mRunTime.IsKnown();
    });
  mSpeedsKnown = static_cast<double>(unknown) <=
                 kMaxUnknownSpeedShare * static_cast<double>(mWorkers.size());
  UpdateTimeFactors();
  for (std::size_t index = 0; index < mWorkers.size(); ++index) {
    mWorkers[index]->mFillPosition =
      static_cast<double>(index) / static_cast<double>(mWorkers.size());
  }
}

void
UsableWorkers::UpdateTimeFactors()
{
  std::vector<double> factors;
  for (const Worker* worker : mWorkers) {
    if (worker->mHealth.mRunTime.IsKnown()) {
      factors.push_back(worker->mHealth.mRunTime.Factor());
    }
  }
  const double mean = workerspeed::MeanFactor(factors);
  for (Worker* worker : mWorkers) {
    const workerspeed::RelativeRunTime& runTime = worker->mHealth.mRunTime;
    worker->mHealth.mTimeFactor =
      runTime.IsKnown() ? runTime.Factor() / mean : 1.0;
  }
  mSpeedsDiffer =
    static_cast<double>(factors.size()) >=
      kMinKnownSpeedShare * static_cast<double>(mWorkers.size()) &&
    workerspeed::SpeedsDiffer(std::move(factors));
}

} // namespace oriolevane::jobs
