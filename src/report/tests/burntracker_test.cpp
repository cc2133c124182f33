#include "report/burntracker.h"

#include <cmath>

#include "framework/testing/testgroup.h"

namespace oriolevane::report {

using std::chrono::milliseconds;
using std::chrono::minutes;
using testing::Section;

namespace {

const TimePoint kStart{ std::chrono::hours(1'000) };

struct Fixture
{
  BurnTracker mTracker;

  Fixture()
  {
    policy::CellPolicy policy;
    policy.mWorkloads[WorkloadId("certificates")] = { .mToleratedWait =
                                                        milliseconds(1'000),
                                                      .mObjective = 0.9 };
    policy.mTeams[TeamId("inspectors")] = {};
    mTracker.SetPolicy(std::make_shared<const policy::CellPolicy>(policy));
  }

  void Add(const std::string& aWorkload, milliseconds aWaited, TimePoint aNow)
  {
    mTracker.Add({ .mWorkload = WorkloadId(aWorkload),
                   .mTeam = TeamId("inspectors"),
                   .mWaited = aWaited },
                 aNow);
  }
};

} // namespace

static void
BurnTrackerStory(Section& aStory)
{
  aStory.Describe("the report", [](Section& aSection) {
    aSection.It(
      "gives the share of late starts over what the objective allows", [] {
        Fixture fixture;
        for (int sample = 0; sample < 8; ++sample) {
          fixture.Add("certificates", milliseconds(100), kStart);
        }
        fixture.Add("certificates", milliseconds(1'001), kStart);
        fixture.Add("certificates", milliseconds(5'000), kStart);
        const std::vector<BurnLine> lines = fixture.mTracker.Report(kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, lines.size());
        CPPUNIT_ASSERT(std::abs(lines[0].mWindows[0].mBurnRate - 2.0) < 1e-9);
      });
    aSection.It("forgets what is older than the window", [] {
      Fixture fixture;
      fixture.Add("certificates", milliseconds(5'000), kStart);
      const std::vector<BurnLine> lines =
        fixture.mTracker.Report(kStart + minutes(6));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, lines[0].mWindows[0].mTotal);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, lines[0].mWindows[1].mBad);
      CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{ 0 },
        fixture.mTracker.Report(kStart + minutes(400))[0].mWindows[2].mTotal);
    });
    aSection.It("has no line for a workload that is not in the configuration",
                [] {
                  Fixture fixture;
                  fixture.Add("unheard-of", milliseconds(1), kStart);
                  CPPUNIT_ASSERT(fixture.mTracker.Report(kStart).empty());
                });
  });
}

} // namespace oriolevane::report

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "service-level burn", oriolevane::report::BurnTrackerStory } });
}
