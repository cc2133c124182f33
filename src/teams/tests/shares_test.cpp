#include <set>

#include "teams/admissionpolicy.h"
#include "teams/fairorder.h"
#include "teams/ratemeter.h"
#include "teams/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace teams;
using namespace std::chrono_literals;

namespace {

const Resources kTask{ .mMilliCores = 1000 };
const TeamId kRed("red");
const TeamId kBlue("blue");
const std::vector<TeamPolicy> kTeams{ { .mName = kRed, .mWeight = 2 },
                                      { .mName = kBlue, .mWeight = 4 } };

void
DescribeRates(Section& aRoot)
{
  aRoot.Describe("the guaranteed rate of a team", [](Section& aSection) {
    aSection.It("is its weight in jobs a second, with a bounded burst", [] {
      // Guards against a guarantee that a team saves up without limit, and
      // against one that a small team cannot use for jobs that come together.
      RateMeter meter;
      meter.Configure(kTeams);
      TimePoint now(1000s);
      const auto takeAll = [&meter, &now](const TeamId& aTeam) {
        int taken = 0;
        while (meter.TakeToken(aTeam, now)) {
          ++taken;
        }
        return taken;
      };
      CPPUNIT_ASSERT_EQUAL(20, takeAll(kRed));
      int taken = 0;
      for (int job = 0; job < 100; ++job) {
        now += 100ms;
        taken += meter.TakeToken(kRed, now) ? 1 : 0;
      }
      CPPUNIT_ASSERT(taken >= 19 && taken <= 20);
      now += 1h;
      CPPUNIT_ASSERT_EQUAL(20, takeAll(kRed));
      CPPUNIT_ASSERT(meter.HasToken(kBlue, now));
      CPPUNIT_ASSERT(!meter.HasToken(TeamId("unknown"), now));
    });
    aSection.It("is not refilled by a new configuration version", [] {
      // Guards against a burst for each change of the configuration.
      RateMeter meter;
      meter.Configure(kTeams);
      const TimePoint now(1000s);
      while (meter.TakeToken(kRed, now)) {
      }
      meter.Configure(kTeams);
      CPPUNIT_ASSERT(!meter.HasToken(kRed, now));
    });
  });
}

void
DescribeOrder(Section& aRoot)
{
  aRoot.Describe("the order between teams", [](Section& aSection) {
    aSection.It("alternates by weight and by the scarcest resource", [] {
      // Guards against one team that takes all that is free in one pass.
      FairOrder order;
      order.Configure(kTeams);
      order.SetCapacity({ .mMilliCores = 10000, .mMemoryMiB = 1000 });
      // A tenth of the cell each, by processors and by memory.
      const WaitingDemand red{ .mTeam = &kRed,
                               .mResources = { .mMilliCores = 1000 } };
      const WaitingDemand blue{ .mTeam = &kBlue,
                                .mResources = { .mMemoryMiB = 100 } };
      const std::vector<double> keys =
        order.SortKeys({ red, red, blue, blue, blue },
                       [](const TeamId&) { return Resources(); });
      const std::vector<double> expected{ 0, 0.05, 0, 0.025, 0.05 };
      for (std::size_t key = 0; key < keys.size(); ++key) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(expected[key], keys[key], 1e-9);
      }
    });
  });
}

void
DescribeAdmission(Section& aRoot)
{
  aRoot.Describe("a borrowing job", [](Section& aSection) {
    aSection.It("is refused only while other teams' guaranteed work waits", [] {
      // Guards against refusals while capacity is idle, and against a team that
      // is refused on account of its own work.
      AdmissionPolicy policy;
      policy.Configure(kTeams);
      CPPUNIT_ASSERT(!policy.RetryAfter(kRed, "1", kTask));
      policy.NoteGuaranteedWait(kRed, 2s);
      policy.NoteGuaranteedWait(kBlue, 10ms);
      CPPUNIT_ASSERT(!policy.RetryAfter(kRed, "1", kTask));
      CPPUNIT_ASSERT(policy.RetryAfter(kBlue, "1", kTask));
      policy.BeginPass({});
      CPPUNIT_ASSERT(!policy.RetryAfter(kBlue, "1", kTask));
    });
    aSection.It("is admitted while all that waits fits the free capacity", [] {
      // Guards against refusals while gangs wait for their
      // reservation and most of the cell is idle.
      AdmissionPolicy policy;
      policy.Configure(kTeams);
      policy.BeginPass({ .mMilliCores = 3000 });
      policy.NoteGuaranteedWait(kBlue, 2s);
      policy.NoteDemand({ .mMilliCores = 2000 });
      CPPUNIT_ASSERT(!policy.RetryAfter(kRed, "1", kTask));
      policy.NoteDemand({ .mMilliCores = 1 });
      CPPUNIT_ASSERT(policy.RetryAfter(kRed, "1", kTask));
    });
    aSection.It("comes back after a time that grows and differs by job", [] {
      // Guards against refused jobs that all return at the same time.
      AdmissionPolicy policy;
      policy.Configure(kTeams);
      policy.NoteGuaranteedWait(kBlue, 2s);
      for (int step = 0; step < 60; ++step) {
        policy.NoteBorrowingStep();
      }
      std::set<std::chrono::seconds> delays;
      for (int job = 0; job < 200; ++job) {
        delays.insert(*policy.RetryAfter(kRed, std::to_string(job), kTask));
      }
      CPPUNIT_ASSERT(*delays.begin() >= 5s && *delays.rbegin() <= 15s);
      CPPUNIT_ASSERT(delays.size() >= 8);
    });
  });
}

} // namespace

void
ShareTests(Section& aRoot)
{
  DescribeRates(aRoot);
  DescribeOrder(aRoot);
  DescribeAdmission(aRoot);
}

} // namespace oriolevane
