#include "placement/internal/workerpicker.h"

#include <algorithm>

#include "placement/internal/packingscore.h"

namespace oriolevane::placement {

namespace {

// Workers with room that are compared for one task.
constexpr std::size_t kEnough = 24;
// Workers that are looked at for one task.
constexpr std::size_t kMostOffered = 768;
constexpr std::chrono::hours kServiceRunTime{ 24 * 365 };
constexpr double kTieBreak = 1e-9;

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
      result.mCapacityOnly = false;
      return false;
    }
    const double score = Score(query, aWorker);
    if (result.mWorker == kNoWorker || score > best) {
      result.mWorker = aWorker;
      best = score;
    }
    return true;
  };
  result.mComplete = mContext.mIndex.Search(
    aAttempt.mResources, kEnough, kMostOffered, mContext.mRandom, visit);
  result.mCapacityOnly = result.mCapacityOnly && result.mComplete;
  return result;
}

WorkerIndex
WorkerPicker::PickAmongFreed(const Attempt& aAttempt, std::uint64_t aSince)
{
  const Query query = QueryFor(aAttempt);
  WorkerIndex chosen = kNoWorker;
  double best = 0;
  mContext.mFreed.AnySince(aSince, [&](WorkerIndex aWorker) {
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
  if (aAttempt.mBatch == nullptr || aAttempt.mBatch->mOrder.mService) {
    return mContext.mNow + kServiceRunTime;
  }
  const WorkloadRecord& workload =
    mContext.mWorkloads.At(aAttempt.mBatch->mWorkload);
  return aStart +
         workload.LikelyRunTime(aAttempt.mBatch->mOrder.mExpectedRunTime);
}

WorkerPicker::Query
WorkerPicker::QueryFor(const Attempt& aAttempt) const
{
  return { .mAttempt = &aAttempt,
           .mOwner = aAttempt.mBatch->mMembers.front(),
           .mLikelyEnd = LikelyEnd(aAttempt, mContext.mNow),
           .mWorkload = &mContext.mWorkloads.At(aAttempt.mBatch->mWorkload) };
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
  const std::vector<WorkerId>& avoid = aQuery.mAttempt->mBatch->mOrder.mAvoid;
  if (!avoid.empty() &&
      std::find(avoid.begin(), avoid.end(), mContext.NameOf(aWorker)) !=
        avoid.end()) {
    return false;
  }
  return mHealth.Accepts(aWorker, *aQuery.mAttempt) &&
         mReservations.Allows(aWorker,
                              aQuery.mOwner,
                              aQuery.mAttempt->mResources,
                              aQuery.mLikelyEnd);
}

double
WorkerPicker::Score(const Query& aQuery, WorkerIndex aWorker) const
{
  const LedgerEntry& entry = mContext.mLedger.At(aWorker);
  const policy::PlacementWeights& weights = aQuery.mWorkload->mPolicy.mWeights;
  const double packing =
    PackingScore(entry.mGrantable, entry.Free(), aQuery.mAttempt->mResources);
  const double spread = SpreadTerm(aQuery, mContext.mWorkers.At(aWorker));
  const double tie =
    kTieBreak * static_cast<double>(mContext.mRandom() & 0xffffU);
  return weights.mPacking * packing + weights.mSpread * spread + tie;
}

double
WorkerPicker::SpreadTerm(const Query& aQuery, const WorkerRecord& aWorker) const
{
  const RequestId& request = aQuery.mAttempt->mKey.mRequest;
  switch (aQuery.mWorkload->mPolicy.mSpread) {
    case policy::Spread::None:
      return 0;
    case policy::Spread::Rack:
      return 1.0 / (1 + mContext.mSiblings.InRack(request, aWorker.mRack));
    case policy::Spread::Zone:
      return 1.0 / (1 + mContext.mSiblings.InZone(request, aWorker.mZone));
  }
  return 0;
}

} // namespace oriolevane::placement
