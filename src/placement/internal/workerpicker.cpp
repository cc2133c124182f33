#include "placement/internal/workerpicker.h"

#include <algorithm>

#include "placement/internal/packingscore.h"

namespace oriolevane::placement {

namespace {

// Maximum of suitable workers that are compared for one task.
constexpr std::size_t kMaxCompared = 24;
// Maximum of workers that are inspected for one task.
constexpr std::size_t kMaxInspected = 768;
// Run time assumed for services, which have no end of their own.
constexpr std::chrono::hours kAssumedServiceRunTime{ 24 * 365 };
// Scale of the random term that breaks ties between equal scores.
constexpr double kTieBreakScale = 1e-9;

} // namespace

PickResult
WorkerPicker::Pick(const Attempt& aAttempt)
{
  const Query query = QueryFor(aAttempt);
  PickResult result;
  double best = 0;
  const auto visit = [&](WorkerIndex aWorker) {
    if (!HasRoom(query, aWorker)) {
      return false;
    }
    if (!IsAllowed(query, aWorker)) {
      result.mLackedOnlyCapacity = false;
      return false;
    }
    const double score = Score(query, aWorker);
    if (result.mWorker == kNoWorker || score > best) {
      result.mWorker = aWorker;
      best = score;
    }
    return true;
  };
  result.mComplete = mContext.mCapacityIndex.Search(
    aAttempt.mResources, kMaxCompared, kMaxInspected, mContext.mRandom, visit);
  result.mLackedOnlyCapacity = result.mLackedOnlyCapacity && result.mComplete;
  return result;
}

WorkerIndex
WorkerPicker::PickAmongFreed(const Attempt& aAttempt, std::uint64_t aSince)
{
  const Query query = QueryFor(aAttempt);
  WorkerIndex chosen = kNoWorker;
  double best = 0;
  mContext.mFreedWorkers.AnySince(aSince, [&](WorkerIndex aWorker) {
    if (!HasRoom(query, aWorker) || !IsAllowed(query, aWorker)) {
      return false;
    }
    const double score = Score(query, aWorker);
    if (chosen == kNoWorker || score > best) {
      chosen = aWorker;
      best = score;
    }
    return false;
  });
  return chosen;
}

TimePoint
WorkerPicker::LikelyEnd(const Attempt& aAttempt, TimePoint aStart) const
{
  if (aAttempt.mBatch == nullptr || aAttempt.mBatch->mPlaceTasks.mService) {
    return mContext.mNow + kAssumedServiceRunTime;
  }
  const WorkloadRecord& workload =
    mContext.mWorkloads.At(aAttempt.mBatch->mWorkload);
  return aStart + workload.LikelyMaxRunTime(
                    aAttempt.mBatch->mPlaceTasks.mExpectedRunTime);
}

WorkerPicker::Query
WorkerPicker::QueryFor(const Attempt& aAttempt) const
{
  const Batch& batch = *aAttempt.mBatch;
  const WorkloadRecord& workload = mContext.mWorkloads.At(batch.mWorkload);
  // A task may wait for better packing, but not longer than its workload
  // tolerates.
  const bool mayWait =
    workload.mPolicy.mWeights.mPacking > workload.mPolicy.mWeights.mWaiting &&
    batch.mPlaceTasks.mUrgency != protocol::Urgency::Urgent &&
    mContext.mNow < batch.mSubmitted + workload.mPolicy.mToleratedWait;
  return { .mAttempt = &aAttempt,
           .mOwner = batch.mMembers.front(),
           .mWorkload = &workload,
           .mPreservesAccelerators = mayWait &&
                                     aAttempt.mResources.mAccelerators == 0 &&
                                     mContext.mWaitingForAccelerators > 0 };
}

bool
WorkerPicker::HasRoom(const Query& aQuery, WorkerIndex aWorker) const
{
  const LedgerEntry& entry = mContext.mLedger.At(aWorker);
  return entry.mOpen && aQuery.mAttempt->mResources.FitsIn(entry.Free());
}

bool
WorkerPicker::IsAllowed(const Query& aQuery, WorkerIndex aWorker) const
{
  const std::vector<WorkerId>& avoid =
    aQuery.mAttempt->mBatch->mPlaceTasks.mAvoid;
  if (!avoid.empty() &&
      std::find(avoid.begin(), avoid.end(), mContext.NameOf(aWorker)) !=
        avoid.end()) {
    return false;
  }
  if (aQuery.mPreservesAccelerators &&
      !PreservesAccelerators(aQuery, aWorker)) {
    return false;
  }
  if (!mHealth.Accepts(aWorker, *aQuery.mAttempt)) {
    return false;
  }
  // The likely end is computed only for reserved workers, to save time.
  return mContext.mWorkers.At(aWorker).mReservation.mReservationId == 0 ||
         mReservations.Allows(aWorker,
                              aQuery.mOwner,
                              aQuery.mAttempt->mResources,
                              LikelyEnd(*aQuery.mAttempt, mContext.mNow));
}

bool
WorkerPicker::PreservesAccelerators(const Query& aQuery,
                                    WorkerIndex aWorker) const
{
  const Resources free = mContext.mLedger.At(aWorker).Free();
  const std::int64_t count = free.mAccelerators;
  if (count <= 0) {
    return true;
  }
  const Resources remaining = free - aQuery.mAttempt->mResources;
  const Resources& perAccelerator = mContext.mPerAccelerator;
  return remaining.mMilliCores >= perAccelerator.mMilliCores * count &&
         remaining.mMemoryMiB >= perAccelerator.mMemoryMiB * count &&
         remaining.mSlots >= perAccelerator.mSlots * count;
}

double
WorkerPicker::Score(const Query& aQuery, WorkerIndex aWorker) const
{
  const LedgerEntry& entry = mContext.mLedger.At(aWorker);
  const policy::PlacementWeights& weights = aQuery.mWorkload->mPolicy.mWeights;
  const double packing =
    PackingScore(entry.mGrantable, entry.Free(), aQuery.mAttempt->mResources);
  const double spread = SpreadScore(aQuery, mContext.mWorkers.At(aWorker));
  const double tie =
    kTieBreakScale * static_cast<double>(mContext.mRandom() & 0xffffU);
  return weights.mPacking * packing + weights.mSpread * spread + tie;
}

double
WorkerPicker::SpreadScore(const Query& aQuery,
                          const WorkerRecord& aWorker) const
{
  const RequestId& request = aQuery.mAttempt->mKey.mRequest;
  switch (aQuery.mWorkload->mPolicy.mSpread) {
    case policy::Spread::None:
      return 0;
    case policy::Spread::Rack:
      return 1.0 / (1 + mContext.mSpreadCounts.InRack(request, aWorker.mRack));
    case policy::Spread::Zone:
      return 1.0 / (1 + mContext.mSpreadCounts.InZone(request, aWorker.mZone));
  }
  return 0;
}

} // namespace oriolevane::placement
