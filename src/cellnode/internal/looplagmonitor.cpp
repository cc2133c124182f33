#include "cellnode/looplagmonitor.h"

#include <algorithm>

namespace oriolevane::cellnode {

void
LoopLagMonitor::OnTimer(TimePoint aDue, TimePoint aNow)
{
  if (!mIntervalStart.has_value()) {
    BeginInterval(aNow);
    return;
  }
  ++mFirings;
  mLeastLag = std::min(mLeastLag, aNow - aDue);
  if (aNow < *mIntervalStart + mOptions.mInterval) {
    return;
  }
  mLag = mLeastLag;
  mOverloaded = mFirings >= mOptions.mMinFirings && mLag >= mOptions.mMinLag;
  BeginInterval(aNow);
}

void
LoopLagMonitor::BeginInterval(TimePoint aNow)
{
  mIntervalStart = aNow;
  mLeastLag = Duration::max();
  mFirings = 0;
}

} // namespace oriolevane::cellnode
