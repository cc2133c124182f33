// One place in a queue.
#pragma once

#include <cstdint>
#include <tuple>

#include "framework/types/timepoint.h"
#include "placement/internal/attemptref.h"

namespace oriolevane::placement {

// Goes stale when its attempt leaves the queue; found out at the head.
struct QueueEntry
{
  // When the task should start at the latest, by its deadline or by the wait
  // that its workload tolerates.
  TimePoint mStartBy;
  // Order of arrival.
  std::uint64_t mNumber = 0;
  AttemptRef mAttempt;

  bool operator<(const QueueEntry& aOther) const
  {
    return std::tie(mStartBy, mNumber) <
           std::tie(aOther.mStartBy, aOther.mNumber);
  }
};

} // namespace oriolevane::placement
