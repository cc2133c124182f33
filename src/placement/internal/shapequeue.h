// Waiting tasks of one team that ask for about the same.
#pragma once

#include <cstdint>
#include <set>

#include "placement/internal/queueentry.h"

namespace oriolevane::placement {

struct ShapeQueue
{
  std::uint64_t mKey = 0;
  std::set<QueueEntry> mEntries;
  // Pass in which its foremost tasks were found not to be placeable.
  std::uint64_t mSkippedIn = 0;
};

} // namespace oriolevane::placement
