// Capacity of one worker that is reserved for a waiting batch.
#pragma once

#include <cstdint>

#include "framework/types/resources.h"
#include "framework/types/timepoint.h"
#include "placement/internal/attemptref.h"

namespace oriolevane::placement {

// Other tasks may still use the worker if they fit beside the reserved amount
// or are likely to end before mNeededAt.
struct WorkerReservation
{
  // First member of the batch that owns the reservation; meaningless when
  // mReservationId is zero.
  AttemptRef mOwner;
  // Key in Reservations; zero when the worker is not reserved.
  std::uint32_t mReservationId = 0;
  Resources mAmount;
  // Time at which the batch is expected to need the capacity.
  TimePoint mNeededAt;
};

} // namespace oriolevane::placement
