// The clock of all decisions: monotonic, local to one process, never compared
// between nodes.
#pragma once

#include <chrono>

namespace oriolevane {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

} // namespace oriolevane
