// Detects that a node's event loop has more work than its host can do, from how
// late a periodic timer fires. A loop that is only busy for a moment still
// fires the timer on time now and then, so the least delay of an interval
// counts (the principle of CoDel, RFC 8289).
#pragma once

#include <chrono>
#include <optional>

#include "framework/types/timepoint.h"

namespace oriolevane::cellnode {

struct LoopLagOptions
{
  // The loop is overloaded when the timer is at least this late at each firing
  // of an interval.
  std::chrono::milliseconds mMinLag{ 20 };
  std::chrono::milliseconds mInterval{ 400 };
  // An interval with fewer firings says nothing, for example because the host
  // was suspended.
  int mMinFirings = 3;
};

class LoopLagMonitor
{
public:
  explicit LoopLagMonitor(LoopLagOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  // Notes that the timer fired at aNow, although it was due at aDue.
  void OnTimer(TimePoint aDue, TimePoint aNow);
  // True when the last complete interval showed an overload.
  bool IsOverloaded() const { return mOverloaded; }
  // The least lag of the last complete interval.
  Duration Lag() const { return mLag; }

private:
  void BeginInterval(TimePoint aNow);

  LoopLagOptions mOptions;
  std::optional<TimePoint> mIntervalStart;
  Duration mLeastLag = Duration::max();
  int mFirings = 0;
  Duration mLag{};
  bool mOverloaded = false;
};

} // namespace oriolevane::cellnode
