// Index types of the tables of a placer.
#pragma once

#include <cstdint>
#include <limits>

namespace oriolevane::placement {

using WorkerIndex = std::uint32_t;
using AttemptIndex = std::uint32_t;
using TeamIndex = std::uint32_t;
using WorkloadIndex = std::uint32_t;

constexpr WorkerIndex kNoWorker = std::numeric_limits<WorkerIndex>::max();
constexpr AttemptIndex kNoAttempt = std::numeric_limits<AttemptIndex>::max();

} // namespace oriolevane::placement
