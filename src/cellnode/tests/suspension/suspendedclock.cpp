#include "cellnode/tests/suspension/suspendedclock.h"

#include <ctime>

#include <sys/syscall.h>
#include <unistd.h>

namespace {

std::chrono::seconds suspended{ 0 };

} // namespace

namespace oriolevane {

void
SuspendMachine(std::chrono::seconds aTime)
{
  suspended += aTime;
}

} // namespace oriolevane

// Takes the place of the C library's function in the whole program.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int
clock_gettime(clockid_t aClock, timespec* aTime) noexcept
{
  const long result = syscall(SYS_clock_gettime, aClock, aTime);
  if (result == 0 && aClock == CLOCK_BOOTTIME) {
    aTime->tv_sec += suspended.count();
  }
  return static_cast<int>(result);
}
