// Lets refused callers return at different times.
#pragma once

#include <chrono>
#include <cstdint>

#include "framework/stablehash.h"
#include "jobs/types/taskkey.h"

namespace oriolevane::cellnode {

// Returns a time after which the caller of a refused job may return: at least
// aFirst, and less than aSpread more.
inline std::chrono::milliseconds
SpreadRetry(const jobs::JobId& aId,
            std::chrono::milliseconds aFirst,
            std::chrono::milliseconds aSpread)
{
  const auto spread = static_cast<std::uint64_t>(aSpread.count());
  return aFirst + std::chrono::milliseconds(StableHash(aId.mValue) % spread);
}

} // namespace oriolevane::cellnode
