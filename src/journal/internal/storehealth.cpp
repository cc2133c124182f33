#include "journal/storehealth.h"

namespace oriolevane::journal {

StoreHealthTracker::StoreHealthTracker(StoreHealthOptions aOptions)
  : mOptions(aOptions)
{
}

std::optional<StoreHealth>
StoreHealthTracker::OnResult(bool aSucceeded)
{
  const bool isUp = mState == StoreHealth::Up;
  if (aSucceeded == isUp) {
    mAgainst = 0;
    return std::nullopt;
  }
  ++mAgainst;
  if (mAgainst < (isUp ? mOptions.mDownAfter : mOptions.mUpAfter)) {
    return std::nullopt;
  }
  mAgainst = 0;
  mState = isUp ? StoreHealth::Down : StoreHealth::Up;
  return mState;
}

} // namespace oriolevane::journal
