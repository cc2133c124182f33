// An order to a worker that no report has shown as applied.
#pragma once

#include <cstdint>

#include "placement/internal/handles.h"
#include "protocol/types/taskkey.h"

namespace oriolevane::placement {

enum class OrderKind : std::uint8_t
{
  Start,
  Stop,
  StopWithCheckpoint,
  Forget
};

struct PendingOrder
{
  OrderKind mKind = OrderKind::Start;
  protocol::TaskKey mTask;
  // The attempt to start; unused by the other kinds.
  AttemptIndex mAttempt = kNoAttempt;
  // Sequence of the first command that carried it; zero before.
  std::uint64_t mFirstSequence = 0;
};

} // namespace oriolevane::placement
