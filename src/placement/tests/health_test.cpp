#include "placement/tests/harness.h"
#include "placement/tests/testgroups.h"

namespace oriolevane::placement {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Section;

namespace {

// Submits one task every 100 ms. Returns the sum over these steps of the tasks
// that run on worker 0 right after the submission; with run times of 100 ms
// these are the tasks started there.
int
CountStartsOnFirstWorker(Harness& aHarness,
                         const std::string& aPrefix,
                         int aTasks)
{
  int starts = 0;
  for (int number = 0; number < aTasks; ++number) {
    aHarness.HandleEvent(MakePlaceTasks(aPrefix + std::to_string(number)));
    starts += static_cast<int>(aHarness.Worker(0).Running().size());
    aHarness.AdvanceTime(milliseconds{ 100 });
  }
  return starts;
}

void
TestFailingWorker(Section& aSection)
{
  aSection.It("that fails all tasks gets only a few", [] {
    Harness harness(4);
    harness.mTaskRunTime = milliseconds{ 100 };
    harness.mFailing[0] = true;
    const int starts = CountStartsOnFirstWorker(harness, "a", 100);
    CPPUNIT_ASSERT(starts >= 1);
    CPPUNIT_ASSERT(starts <= 5);
  });
  aSection.It(
    "in quarantine gets one task as a probe, and is used again once a probe "
    "succeeds",
    [] {
      Harness harness(4);
      harness.mTaskRunTime = milliseconds{ 100 };
      harness.mFailing[0] = true;
      CountStartsOnFirstWorker(harness, "a", 100);
      harness.AdvanceTime(seconds{ 60 });
      const int probes = CountStartsOnFirstWorker(harness, "b", 60);
      CPPUNIT_ASSERT(probes <= 1);
      harness.mFailing[0] = false;
      harness.AdvanceTime(seconds{ 120 });
      CPPUNIT_ASSERT(CountStartsOnFirstWorker(harness, "c", 100) > 5);
    });
  aSection.It("is not quarantined for a workload that fails on all workers",
              [] {
                Harness harness(4);
                harness.mTaskRunTime = milliseconds{ 100 };
                harness.mFailing = { true, true, true, true };
                CountStartsOnFirstWorker(harness, "a", 200);
                harness.mFailing = { false, false, false, false };
                harness.HandleEvent(MakePlaceTasks("b", 24));
                CPPUNIT_ASSERT_EQUAL(24, harness.StartCount("b"));
              });
}

} // namespace

void
HealthTests(Section& aRoot)
{
  aRoot.Describe("a worker", TestFailingWorker);
}

} // namespace oriolevane::placement
