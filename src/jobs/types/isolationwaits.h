// The waits of steps to be started in isolation, for metrics.
#pragma once

#include <cstddef>

#include "framework/types/timepoint.h"

namespace oriolevane::jobs {

// Steps with a task under which workers crashed or may have crashed. It waits
// to start apart from other jobs.
struct IsolationWaits
{
  std::size_t mSteps = 0;
  // The longest time for which one of them has waited.
  Duration mLongest{};
};

} // namespace oriolevane::jobs
