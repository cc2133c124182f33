// Waiting tasks of one team that ask for the same and may go to the same
// workers.
#pragma once

#include <cstdint>
#include <queue>
#include <vector>

#include "framework/types/resources.h"
#include "placement/internal/handles.h"
#include "placement/internal/queueentry.h"

namespace oriolevane::placement {

// When one of them fits nowhere, none does.
struct ShapeQueue
{
  struct Later
  {
    bool operator()(const QueueEntry& aLeft, const QueueEntry& aRight) const
    {
      return aRight < aLeft;
    }
  };

  std::uint64_t mKey = 0;
  std::priority_queue<QueueEntry, std::vector<QueueEntry>, Later> mEntries;
  // Pass in which it was found not to be placeable.
  std::uint64_t mSkippedIn = 0;
  // Count of freed workers when it last fitted nowhere, if it ever did.
  bool mHasFailed = false;
  std::uint64_t mFailedAt = 0;
};

} // namespace oriolevane::placement
