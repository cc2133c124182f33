#include "placement/internal/placercontext.h"

#include <algorithm>

namespace oriolevane::placement {

PlacerContext::PlacerContext(const PlacerOptions& aOptions)
  : mOptions(aOptions)
  , mPolicy(std::make_shared<policy::CellPolicy>())
  , mRandom(aOptions.mSeed)
  , mTeams(aOptions.mShardCount)
  , mTombstones(aOptions.mTombstoneLimit, aOptions.mTombstoneRetention)
  , mOutbox(aOptions.mShard, aOptions.mEpoch)
{
}

Attempt*
PlacerContext::Resolve(const AttemptRef& aRef)
{
  return mAttempts.IsCurrent(aRef.mIndex, aRef.mGeneration)
           ? &mAttempts.At(aRef.mIndex)
           : nullptr;
}

WorkerId
PlacerContext::NameOf(WorkerIndex aWorker) const
{
  return aWorker == kNoWorker ? WorkerId{} : mWorkers.At(aWorker).mInfo.mWorker;
}

void
PlacerContext::UpdateAvailability(WorkerIndex aWorker)
{
  const WorkerRecord& worker = mWorkers.At(aWorker);
  const bool open =
    worker.TakesWork() && worker.mHealth.mState != HealthState::Quarantined;
  if (open != mLedger.At(aWorker).mOpen) {
    mLedger.SetOpen(aWorker, open);
    mTeams.SetShardCapacity(mLedger.OpenTotal());
    if (open) {
      mFreedWorkers.Add(aWorker);
    }
  }
  if (open) {
    mCapacityIndex.Put(aWorker, mLedger.At(aWorker).Free());
  } else {
    mCapacityIndex.Remove(aWorker);
  }
}

void
PlacerContext::CountWaiting(const Attempt& aAttempt, int aChange)
{
  const auto urgency =
    static_cast<std::size_t>(aAttempt.mBatch->mPlaceTasks.mUrgency);
  const auto change = static_cast<std::uint32_t>(aChange);
  mWaitingByUrgency[urgency] += change;
  if (aAttempt.mResources.mAccelerators > 0) {
    mWaitingForAccelerators += change;
  }
}

void
PlacerContext::ScheduleCommand(WorkerIndex aWorker)
{
  WorkerRecord& worker = mWorkers.At(aWorker);
  if (!worker.mCommandDue) {
    worker.mCommandDue = true;
    mCommandsDue.push_back(aWorker);
  }
}

bool
PlacerContext::CouldEverFit(const Resources& aNeed) const
{
  return std::any_of(
    mCapacityKinds.begin(), mCapacityKinds.end(), [&](const Resources& aKind) {
      return aNeed.FitsIn(aKind);
    });
}

} // namespace oriolevane::placement
