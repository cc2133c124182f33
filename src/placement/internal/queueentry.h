// Entry of a queue of waiting tasks.
#pragma once

#include <cstdint>
#include <tuple>

#include "framework/types/timepoint.h"
#include "placement/internal/attemptref.h"

namespace oriolevane::placement {

// An entry becomes stale when its attempt leaves the queue. Stale entries are
// removed when the scheduler reaches them.
struct QueueEntry
{
  // Latest time at which the task should start, given by its deadline or by the
  // wait that its workload tolerates, whichever is earlier.
  TimePoint mStartBy;
  // Order of arrival, unique in a TaskQueue; breaks ties of mStartBy.
  std::uint64_t mSequence = 0;
  AttemptRef mAttempt;

  bool operator<(const QueueEntry& aOther) const
  {
    return std::tie(mStartBy, mSequence) <
           std::tie(aOther.mStartBy, aOther.mSequence);
  }
};

} // namespace oriolevane::placement
