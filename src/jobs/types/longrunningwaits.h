// The waits of long-running steps, for metrics.
#pragma once

#include <cstddef>

#include "framework/types/timepoint.h"

namespace oriolevane::jobs {

struct LongRunningWaits
{
  // Long-running steps with tasks that wait to start.
  std::size_t mSteps = 0;
  // The longest time for which one of them has waited.
  Duration mLongest{};
};

} // namespace oriolevane::jobs
