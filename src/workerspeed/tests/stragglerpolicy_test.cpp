#include "workerspeed/estimateaccuracy.h"
#include "workerspeed/stragglerpolicy.h"
#include "workerspeed/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace workerspeed;
using namespace std::chrono_literals;

namespace {

RunTiming
RunOf(Duration aElapsed, bool aCheckpointing = false)
{
  return { .mElapsed = aElapsed,
           .mExpected = 2000ms,
           .mExpectedElsewhere = 2000ms,
           .mStopTime = 450ms,
           .mCheckpointing = aCheckpointing };
}

} // namespace

void
StragglerPolicyTests(Section& aRoot)
{
  aRoot.Describe("a run", [](Section& aSection) {
    aSection.It("is moved when it is far beyond its expected time", [] {
      const StragglerPolicy policy;
      CPPUNIT_ASSERT(policy.ShouldMove(RunOf(4000ms)));
      CPPUNIT_ASSERT(!policy.ShouldMove(RunOf(3400ms)));
      CPPUNIT_ASSERT(policy.ShouldMove(RunOf(3400ms, true)));
    });
    // A move costs the time to stop the run, which a short run never regains.
    aSection.It("is left when a new run would not end earlier", [] {
      const StragglerPolicy policy;
      RunTiming run = RunOf(4000ms);
      run.mExpectedElsewhere = 3800ms;
      CPPUNIT_ASSERT(!policy.ShouldMove(run));
    });
    aSection.It("is left when nothing is expected of it", [] {
      RunTiming run = RunOf(4000ms);
      run.mExpected = 0ms;
      CPPUNIT_ASSERT(!StragglerPolicy().ShouldMove(run));
    });
    // Tasks that are long by themselves would lose their work over and over.
    aSection.It("is seldom moved after moving has not helped", [] {
      StragglerPolicy policy;
      for (int outcome = 0; outcome < 20; ++outcome) {
        policy.RecordOutcome(false);
      }
      int moved = 0;
      for (int run = 0; run < 100; ++run) {
        moved += policy.ShouldMove(RunOf(4000ms)) ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(5, moved);
    });
  });
  aRoot.Describe("the estimates of a queue", [](Section& aSection) {
    aSection.It("are not relied on before some runs have ended", [] {
      EstimateAccuracy accuracy;
      accuracy.AddRun(1000ms, 1100ms);
      CPPUNIT_ASSERT_EQUAL(0.0, accuracy.UpperFactor());
    });
    // Estimates that are often far too low would make ordinary runs stragglers.
    aSection.It("are taken with the margin by which they are too low", [] {
      EstimateAccuracy accuracy;
      for (int run = 0; run < 100; ++run) {
        accuracy.AddRun(1000ms, run % 5 == 0 ? 4000ms : 900ms);
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, accuracy.UpperFactor(), 0.001);
    });
  });
}

} // namespace oriolevane
