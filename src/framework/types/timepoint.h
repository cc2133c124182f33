// Time types for all scheduling decisions. They use the monotonic clock of one
// process, so their values must not be compared between nodes.
#pragma once

#include <chrono>

namespace oriolevane {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

} // namespace oriolevane
