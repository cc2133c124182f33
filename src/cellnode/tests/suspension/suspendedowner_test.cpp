#include "cellnode/tests/ownersessionfixture.h"
#include "cellnode/tests/suspension/suspendedclock.h"
#include "framework/log.h"
#include "framework/steadynow.h"
#include "framework/testing/testgroup.h"

namespace oriolevane {

using cellnode::OwnerSessionFixture;
using testing::Section;
using namespace std::chrono_literals;

namespace {

// Longer than a node may own the shard without a write to the store.
constexpr std::chrono::seconds kSuspension = 10s;

void
ClockTests(Section& aRoot)
{
  aRoot.It("counts the time for which the machine was suspended", [] {
    const TimePoint before = SteadyNow();
    SuspendMachine(kSuspension);
    const Duration passed = SteadyNow() - before;
    CPPUNIT_ASSERT(passed >= kSuspension && passed < kSuspension + 5s);
  });
  aRoot.It("follows CLOCK_BOOTTIME", [] {
    const BootDuration before = BootClock::Now().time_since_epoch();
    const Duration now = SteadyNow().time_since_epoch();
    const BootDuration after = BootClock::Now().time_since_epoch();
    CPPUNIT_ASSERT(before <= now && now <= after);
  });
}

// Guards against an owner that goes on with a permission that ended while its
// machine was suspended, beside a successor that has waited for its leases.
void
SuspendedOwnerTests(Section& aRoot)
{
  aRoot.It("repeats no start order after the end of its ownership", [] {
    OwnerSessionFixture fixture;
    fixture.Start();
    fixture.mStoreSilent = true;
    SuspendMachine(kSuspension);
    fixture.LoseStartAnswer();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mStarts.size());
  });
  aRoot.It("extends no lease before the store has answered", [] {
    OwnerSessionFixture fixture;
    fixture.Start();
    fixture.mStoreSilent = true;
    SuspendMachine(kSuspension);
    const int leases = fixture.mLeases;
    fixture.RunFor(200ms);
    CPPUNIT_ASSERT_EQUAL(leases, fixture.mLeases);
  });
  aRoot.It("goes on once the store shows that it still owns the shard", [] {
    OwnerSessionFixture fixture;
    fixture.Start();
    SuspendMachine(kSuspension);
    const int leases = fixture.mLeases;
    fixture.RunFor(200ms);
    CPPUNIT_ASSERT(fixture.mLeases > leases);
  });
}

} // namespace

} // namespace oriolevane

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "steady clock", oriolevane::ClockTests },
      { "suspended owner", oriolevane::SuspendedOwnerTests } });
}
