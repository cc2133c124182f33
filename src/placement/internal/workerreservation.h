// Capacity of one worker that is kept for a waiting batch.
#pragma once

#include <cstdint>

#include "framework/types/resources.h"
#include "framework/types/timepoint.h"
#include "placement/internal/attemptref.h"

namespace oriolevane::placement {

// Other work may use it when it fits alongside, or is likely to end before
// mUntil.
struct WorkerReservation
{
  // First member of the batch that it is for; meaningless when mNumber is zero.
  AttemptRef mOwner;
  std::uint32_t mNumber = 0;
  Resources mAmount;
  TimePoint mUntil;
};

} // namespace oriolevane::placement
