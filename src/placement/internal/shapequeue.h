// Queue of waiting tasks that need similar amounts of resources.
#pragma once

#include <cstdint>
#include <set>

#include "placement/internal/queueentry.h"

namespace oriolevane::placement {

// Entries are ordered by their latest start time.
struct ShapeQueue
{
  std::uint64_t mKey = 0;
  std::set<QueueEntry> mEntries;
  // Latest scheduling pass in which the first tasks of the queue could not be
  // placed.
  std::uint64_t mSkippedInPass = 0;
};

} // namespace oriolevane::placement
