// The clock of all that a node may do only until a certain time.
#pragma once

#include "framework/types/boottime.h"
#include "framework/types/timepoint.h"

namespace oriolevane {

// The present time by CLOCK_BOOTTIME. Time for which the machine is suspended
// counts, as it does for the other nodes: a permission that ended meanwhile has
// ended.
inline TimePoint
SteadyNow()
{
  return TimePoint(BootClock::Now().time_since_epoch());
}

} // namespace oriolevane
