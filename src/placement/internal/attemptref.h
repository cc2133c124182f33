// A reference to an attempt that detects the reuse of its table slot.
#pragma once

#include <cstdint>

#include "placement/internal/handles.h"

namespace oriolevane::placement {

// Refers to nothing once the slot has another generation.
struct AttemptRef
{
  AttemptIndex mIndex = kNoAttempt;
  std::uint32_t mGeneration = 0;

  bool operator==(const AttemptRef&) const = default;
};

} // namespace oriolevane::placement
