#include "teams/quotaledger.h"

#include "teams/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace teams;

namespace {

const TeamId kTeam("red");
const Resources kTask{ .mMilliCores = 1000, .mMemoryMiB = 100 };

QuotaLedger
LedgerWithQuota(const Resources& aQuota, double aExcess = 0)
{
  QuotaLedger ledger({ .mExcess = aExcess });
  ledger.Configure({ { .mName = kTeam, .mQuota = aQuota } });
  return ledger;
}

} // namespace

void
QuotaLedgerTests(Section& aRoot)
{
  aRoot.Describe("a team's quota", [](Section& aSection) {
    aSection.It("limits each amount that is not 0", [] {
      // Guards against a limit that is ignored or taken as none at all.
      QuotaLedger ledger =
        LedgerWithQuota({ .mMemoryMiB = 250, .mAccelerators = 1 });
      ledger.Add(kTeam, kTask);
      CPPUNIT_ASSERT(ledger.Allows(kTeam, kTask));
      ledger.Add(kTeam, kTask);
      CPPUNIT_ASSERT(!ledger.Allows(kTeam, kTask));
      CPPUNIT_ASSERT(ledger.Allows(kTeam, { .mMilliCores = 90000 }));
      CPPUNIT_ASSERT(!ledger.Allows(kTeam, { .mAccelerators = 2 }));
      CPPUNIT_ASSERT(ledger.Allows(TeamId("blue"), kTask));
    });
    aSection.It("counts presumed runs until they are cleared", [] {
      // Guards against a quota that is used twice after a takeover.
      QuotaLedger ledger = LedgerWithQuota({ .mMilliCores = 4000 });
      ledger.SetPresumed(kTeam, { .mMilliCores = 4000 });
      CPPUNIT_ASSERT(!ledger.Allows(kTeam, kTask));
      CPPUNIT_ASSERT(!ledger.AllowsGang(kTeam, kTask, 2));
      ledger.ClearPresumed();
      CPPUNIT_ASSERT(ledger.AllowsGang(kTeam, kTask, 4));
    });
    aSection.It("keeps the usage when the configuration changes", [] {
      // Guards against usage that is lost with an earlier version.
      QuotaLedger ledger = LedgerWithQuota({ .mMilliCores = 4000 });
      ledger.Add(kTeam, kTask);
      ledger.Configure({});
      CPPUNIT_ASSERT(ledger.Allows(kTeam, { .mMilliCores = 90000 }));
      ledger.Configure(
        { { .mName = kTeam, .mQuota = { .mMilliCores = 1500 } } });
      CPPUNIT_ASSERT(!ledger.Allows(kTeam, kTask));
      ledger.Remove(kTeam, kTask);
      CPPUNIT_ASSERT(ledger.Allows(kTeam, kTask));
      CPPUNIT_ASSERT(ledger.UsageOf(kTeam) == Resources());
    });
  });
  aRoot.Describe("a gang", [](Section& aSection) {
    aSection.It("fits if all but one member are within the excess", [] {
      // Guards against gangs that are refused, or wait for ever, at the limit.
      QuotaLedger ledger = LedgerWithQuota({ .mMilliCores = 10000 }, 0.1);
      CPPUNIT_ASSERT(ledger.CanEverFit(kTeam, kTask, 12));
      CPPUNIT_ASSERT(!ledger.CanEverFit(kTeam, kTask, 13));
      CPPUNIT_ASSERT(ledger.AllowsGang(kTeam, kTask, 12));
      ledger.Add(kTeam, kTask);
      CPPUNIT_ASSERT(ledger.AllowsGang(kTeam, kTask, 10));
      CPPUNIT_ASSERT(!ledger.AllowsGang(kTeam, kTask, 11));
    });
  });
}

} // namespace oriolevane
