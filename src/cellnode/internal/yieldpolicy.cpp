#include "cellnode/yieldpolicy.h"

namespace oriolevane::cellnode {

void
YieldPolicy::OnOwnershipAcquired(bool aHandedOver, TimePoint aNow)
{
  mOwnedSince = aNow;
  mHandedOver = aHandedOver;
}

YieldReason
YieldPolicy::ReasonToYield(const OwnerCondition& aCondition,
                           TimePoint aNow) const
{
  const Duration owned = aNow - mOwnedSince;
  const bool unfit =
    aCondition.mOwnFitness < mOptions.mUnfitRatio * aCondition.mPeerFitness;
  if (unfit && owned >= mOptions.mMinOwnership) {
    return YieldReason::UnfitHost;
  }
  const auto minOwnership = mHandedOver ? mOptions.mMinOwnershipAfterHandover
                                        : mOptions.mMinOwnershipBeforeOverload;
  const bool hasSuccessor =
    aCondition.mPeerFitness > 0 &&
    aCondition.mPeerFitness >=
      mOptions.mMinSuccessorRatio * aCondition.mOwnFitness;
  if (aCondition.mOverloaded && hasSuccessor && owned >= minOwnership) {
    return YieldReason::Overload;
  }
  return YieldReason::None;
}

} // namespace oriolevane::cellnode
