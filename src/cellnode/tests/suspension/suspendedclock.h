// Replaces the system's clocks in a test program, so that the machine seems to
// have been suspended: CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC by the time
// of the suspensions.
#pragma once

#include <chrono>

namespace oriolevane {

// Lets the machine seem to have been suspended for aTime.
void
SuspendMachine(std::chrono::seconds aTime);

} // namespace oriolevane
