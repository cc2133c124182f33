// The workers that have to prove themselves after failures, for metrics.
#pragma once

#include <cstddef>

#include "framework/types/timepoint.h"

namespace oriolevane::jobs {

struct WorkerTrials
{
  // Reachable workers that are on trial.
  std::size_t mWorkers = 0;
  // Those of them that get no task now, as the one under trial has not ended.
  std::size_t mFull = 0;
  // The longest time for which one of them has been on trial.
  Duration mLongest{};
};

} // namespace oriolevane::jobs
