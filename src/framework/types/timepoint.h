// Time types for all scheduling decisions. Their values come from a monotonic
// clock of one machine, so they must not be compared between nodes. The nodes
// of a cell read them from SteadyNow(), which counts the time for which the
// machine is suspended. std::chrono::steady_clock::now() does not count it, so
// values of the two must not be compared either.
#pragma once

#include <chrono>

namespace oriolevane {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

} // namespace oriolevane
