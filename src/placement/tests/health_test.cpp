#include "placement/tests/harness.h"
#include "placement/tests/stories.h"

namespace oriolevane::placement {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Section;

namespace {

// Sends one task a step and returns how many were started on worker 0.
int
StartsOnFirst(Harness& aHarness, const std::string& aPrefix, int aTasks)
{
  int starts = 0;
  for (int number = 0; number < aTasks; ++number) {
    aHarness.Give(TestOrder(aPrefix + std::to_string(number)));
    starts += static_cast<int>(aHarness.Worker(0).Running().size());
    aHarness.Pass(milliseconds{ 100 });
  }
  return starts;
}

void
BadWorker(Section& aSection)
{
  aSection.It("that fails everything gets only a few tasks", [] {
    Harness harness(4);
    harness.mRunTime = milliseconds{ 100 };
    harness.mFailing[0] = true;
    const int starts = StartsOnFirst(harness, "a", 100);
    CPPUNIT_ASSERT(starts >= 1);
    CPPUNIT_ASSERT(starts <= 5);
  });
  aSection.It("gets one task as a probe, and returns when it succeeds", [] {
    Harness harness(4);
    harness.mRunTime = milliseconds{ 100 };
    harness.mFailing[0] = true;
    StartsOnFirst(harness, "a", 100);
    harness.Pass(seconds{ 60 });
    const int probes = StartsOnFirst(harness, "b", 60);
    CPPUNIT_ASSERT(probes <= 1);
    harness.mFailing[0] = false;
    harness.Pass(seconds{ 120 });
    CPPUNIT_ASSERT(StartsOnFirst(harness, "c", 100) > 5);
  });
  aSection.It("is not blamed for a workload that fails everywhere", [] {
    Harness harness(4);
    harness.mRunTime = milliseconds{ 100 };
    harness.mFailing = { true, true, true, true };
    StartsOnFirst(harness, "a", 200);
    harness.mFailing = { false, false, false, false };
    harness.Give(TestOrder("b", 24));
    CPPUNIT_ASSERT_EQUAL(24, harness.Starts("b"));
  });
}

} // namespace

void
HealthStory(Section& aStory)
{
  aStory.Describe("a worker", BadWorker);
}

} // namespace oriolevane::placement
