// A clock that also advances while the machine is suspended. Its values must
// not be compared between machines.
#pragma once

#include <chrono>
#include <ctime>

namespace oriolevane {

// CLOCK_BOOTTIME. std::chrono::steady_clock stops during a suspension, so that
// what a node knows would seem younger than it is.
struct BootClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now()
  {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};

using BootTimePoint = BootClock::time_point;

} // namespace oriolevane
