#include "draining/evictionpolicy.h"

namespace oriolevane::draining {

namespace {

using namespace std::chrono_literals;

// The time for the stop order to arrive and for the end to be reported.
constexpr std::chrono::milliseconds kOrderMargin = 150ms;

} // namespace

bool
ShouldEvict(const RunOutlook& aRun,
            TimePoint aLeavesAt,
            Duration aMaxStopDuration,
            TimePoint aNow)
{
  if (!aRun.mLongRunning && aRun.mExpectedEnd + kOrderMargin <= aLeavesAt) {
    return false;
  }
  if (aRun.mLongRunning || aRun.mCheckpointing) {
    return true;
  }
  // What the run has done so far is lost with it, so it is stopped only when it
  // cannot end in time.
  return aNow + aMaxStopDuration + kOrderMargin >= aLeavesAt;
}

} // namespace oriolevane::draining
