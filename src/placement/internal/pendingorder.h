// An order to a worker that no report has shown as applied yet.
#pragma once

#include <cstdint>

#include "placement/internal/handles.h"
#include "protocol/types/taskkey.h"

namespace oriolevane::placement {

// What a worker is ordered to do with a task.
enum class OrderKind : std::uint8_t
{
  Start,
  Stop,
  StopWithCheckpoint,
  // Delete the kept outcome of an ended task.
  Forget
};

// Included in each command to the worker until a report shows it as applied.
struct PendingOrder
{
  OrderKind mKind = OrderKind::Start;
  protocol::TaskKey mTask;
  // The attempt to start; unused by the other kinds.
  AttemptIndex mAttempt = kNoAttempt;
  // Sequence number of the first command that contained it; zero when none has
  // been sent.
  std::uint64_t mFirstSequence = 0;
};

} // namespace oriolevane::placement
