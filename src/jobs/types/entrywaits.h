// The workers whose registry entry has not been read since they restarted, for
// metrics.
#pragma once

#include <cstddef>

#include "framework/types/timepoint.h"

namespace oriolevane::jobs {

// They get no tasks meanwhile, as their kind and capacity may have changed.
struct EntryWaits
{
  // Reachable workers.
  std::size_t mWorkers = 0;
  // The longest time since the restart of one of them became known.
  Duration mLongest{};
};

} // namespace oriolevane::jobs
