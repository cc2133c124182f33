// A clock that also advances while the machine is suspended. Its values must
// not be compared between machines.
#pragma once

#include <chrono>
#include <ctime>

namespace oriolevane {

struct BootClock;
using BootDuration = std::chrono::nanoseconds;
using BootTimePoint = std::chrono::time_point<BootClock, BootDuration>;

// CLOCK_BOOTTIME. std::chrono::steady_clock stops during a suspension, so that
// what a node knows would seem younger than it is.
struct BootClock
{
  static BootTimePoint Now()
  {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return BootTimePoint(std::chrono::seconds(time.tv_sec) +
                         std::chrono::nanoseconds(time.tv_nsec));
  }
};

} // namespace oriolevane
