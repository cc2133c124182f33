#include "cellnode/looplagmonitor.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

constexpr auto kPeriod = 20ms;

// Fires the timer for a time, each firing late by aLagAt of the firing's
// number, and returns the time at its end.
TimePoint
Fire(LoopLagMonitor& aMonitor,
     TimePoint aFrom,
     Duration aTime,
     const std::function<Duration(int)>& aLagAt)
{
  TimePoint now = aFrom;
  for (int firing = 0; now < aFrom + aTime; ++firing) {
    const TimePoint due = now + kPeriod;
    now = due + aLagAt(firing);
    aMonitor.OnTimer(due, now);
  }
  return now;
}

Duration
AlwaysLate(int)
{
  return 60ms;
}

Duration
OnTime(int)
{
  return 1ms;
}

// Long passes, with the timer on time once in five firings.
Duration
LateInBursts(int aFiring)
{
  return aFiring % 5 == 4 ? Duration(2ms) : Duration(45ms);
}

} // namespace

void
LoopLagMonitorTests(Section& aRoot)
{
  const TimePoint begin{ 1000s };
  aRoot.Describe("a loop that is always late", [begin](Section& aSection) {
    aSection.It("is overloaded within a second", [begin] {
      LoopLagMonitor monitor;
      Fire(monitor, begin, 1s, AlwaysLate);
      CPPUNIT_ASSERT(monitor.IsOverloaded());
      CPPUNIT_ASSERT(monitor.Lag() == 60ms);
    });
    aSection.It("is not overloaded any more once it catches up", [begin] {
      LoopLagMonitor monitor;
      const TimePoint end = Fire(monitor, begin, 1s, AlwaysLate);
      Fire(monitor, end, 1s, OnTime);
      CPPUNIT_ASSERT(!monitor.IsOverloaded());
    });
  });
  aRoot.It("does not count a loop that catches up between long passes",
           [begin] {
             LoopLagMonitor monitor;
             TimePoint now = begin;
             for (int second = 0; second < 10; ++second) {
               now = Fire(monitor, now, 1s, LateInBursts);
               CPPUNIT_ASSERT(!monitor.IsOverloaded());
             }
           });
  aRoot.It("does not count a host that was suspended", [begin] {
    LoopLagMonitor monitor;
    const TimePoint end = Fire(monitor, begin, 1s, OnTime);
    monitor.OnTimer(end + kPeriod, end + 5s);
    CPPUNIT_ASSERT(!monitor.IsOverloaded());
    Fire(monitor, end + 5s, 1s, OnTime);
    CPPUNIT_ASSERT(!monitor.IsOverloaded());
  });
}

} // namespace oriolevane
