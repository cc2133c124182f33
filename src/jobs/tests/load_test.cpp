#include "jobs/tests/loadtrial.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

// Gangs and bookings together ask for more capacity than the cell has.
LoadTrialOptions
OverloadedMix(SchedulingOrder aOrder)
{
  LoadTrialOptions options = RouteAndBookingLoad();
  options.mSeed = 2;
  options.mDuration = 24000ms;
  for (JobClass& jobClass : options.mJobClasses) {
    jobClass.mJobsPerSecond *= 1.3;
  }
  options.mBursts = {
    { .mJobClass = 2, .mFrom = 4000ms, .mUntil = 8000ms, .mRateFactor = 2.0 },
    { .mJobClass = 0, .mFrom = 12000ms, .mUntil = 16000ms, .mRateFactor = 1.8 }
  };
  options.mScheduling.mOrder = aOrder;
  return options;
}

// Wide gangs on a cell that is a fifth of the size of the site, with as many
// hosts for each worker that can query the policy service.
LoadTrialOptions
WideGangMix()
{
  constexpr int kScale = 5;
  LoadTrialOptions options = WideRouteAndBookingLoad();
  options.mWorkers /= kScale;
  options.mQueryHosts /= kScale;
  options.mDuration = 20000ms;
  for (JobClass& jobClass : options.mJobClasses) {
    jobClass.mJobsPerSecond *= 1.2 / kScale;
  }
  return options;
}

} // namespace

void
LoadTests(Section& aRoot)
{
  aRoot.Describe(
    "a load above the capacity of the cell", [](Section& aSection) {
      aSection.It(
        "earns more value by urgency than by the baseline orders", [] {
          const LoadOutcome urgency =
            RunLoadTrial(OverloadedMix(SchedulingOrder::Urgency));
          const LoadOutcome arrival =
            RunLoadTrial(OverloadedMix(SchedulingOrder::Arrival));
          const LoadOutcome priority =
            RunLoadTrial(OverloadedMix(SchedulingOrder::Priority));
          CPPUNIT_ASSERT(urgency.mViolations.empty());
          CPPUNIT_ASSERT(urgency.EarnedShare() > arrival.EarnedShare());
          CPPUNIT_ASSERT(urgency.EarnedShare() > priority.EarnedShare());
        });
      aSection.It("does not starve large gangs in favour of single tasks", [] {
        const LoadOutcome outcome =
          RunLoadTrial(OverloadedMix(SchedulingOrder::Urgency));
        const JobClassOutcome& gangs = outcome.mJobClasses[0];
        const JobClassOutcome& singles = outcome.mJobClasses[1];
        // Neither class may bear the shortage of capacity alone.
        CPPUNIT_ASSERT(gangs.EarnedShare() > 0.8 * singles.EarnedShare());
        CPPUNIT_ASSERT(singles.EarnedShare() > 0.8);
      });
    });
  aRoot.Describe(
    "a team that sends five times its usual load", [](Section& aSection) {
      aSection.It("costs the other teams little", [] {
        // Guards against a team that takes what others are guaranteed. The
        // loss was at most 0.023 when this was written.
        constexpr double kMaxLoss = 0.05;
        const LoadTrialOptions usual = TeamLoad();
        const LoadTrialOptions flood = TeamFloodLoad();
        const LoadOutcome outcome = RunLoadTrial(flood);
        CPPUNIT_ASSERT(outcome.mViolations.empty());
        const auto before = OutcomeByTeam(usual, RunLoadTrial(usual));
        const auto after = OutcomeByTeam(flood, outcome);
        const TeamId& flooding = flood.mTeams.back().mName;
        for (const auto& [team, result] : after) {
          if (team != flooding) {
            CPPUNIT_ASSERT_EQUAL(0, result.mRefusals);
            CPPUNIT_ASSERT(result.EarnedShare() >
                           before.at(team).EarnedShare() - kMaxLoss);
          }
        }
        // The flooding team borrows what others leave.
        CPPUNIT_ASSERT(after.at(flooding).mEarnedValue >
                       before.at(flooding).mEarnedValue);
      });
    });
  aRoot.Describe(
    "gangs that need a large part of the cell", [](Section& aSection) {
      aSection.It("are served beside shorter work", [] {
        // The share that the users ask for on days of this load.
        constexpr double kTargetShare = 0.72;
        const LoadOutcome outcome = RunLoadTrial(WideGangMix());
        CPPUNIT_ASSERT(outcome.mViolations.empty());
        for (const JobClassOutcome& jobClass : outcome.mJobClasses) {
          CPPUNIT_ASSERT(jobClass.EarnedShare() > kTargetShare);
          // The largest jobs must be served at least half as often as all.
          CPPUNIT_ASSERT(jobClass.mLargestServedShare >=
                         0.5 * jobClass.mServedShare);
        }
      });
    });
}

} // namespace oriolevane
