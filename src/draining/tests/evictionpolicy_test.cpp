#include "draining/evictionpolicy.h"

#include "draining/tests/testgroups.h"

namespace oriolevane {

using draining::RunOutlook;
using testing::Section;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };
const TimePoint kLeavesAt = kNow + 2s;

bool
EvictedAt(const RunOutlook& aRun, TimePoint aNow)
{
  return draining::ShouldEvict(aRun, kLeavesAt, 200ms, aNow);
}

} // namespace

void
EvictionPolicyTests(Section& aRoot)
{
  aRoot.Describe("a run on a worker that leaves", [](Section& aSection) {
    aSection.It("stays when it ends before", [] {
      const RunOutlook run{ .mCheckpointing = true,
                            .mExpectedEnd = kNow + 1500ms };
      CPPUNIT_ASSERT(!EvictedAt(run, kNow));
      CPPUNIT_ASSERT(!EvictedAt(run, kNow + 1400ms));
    });
    aSection.It("moves at once when it resumes where it was stopped", [] {
      CPPUNIT_ASSERT(
        EvictedAt({ .mCheckpointing = true, .mExpectedEnd = kNow + 5s }, kNow));
    });
    aSection.It("moves at once when it is long-running", [] {
      CPPUNIT_ASSERT(EvictedAt({ .mLongRunning = true }, kNow));
    });
    aSection.It("that cannot resume is stopped just before", [] {
      const RunOutlook run{ .mExpectedEnd = kNow + 5s };
      CPPUNIT_ASSERT(!EvictedAt(run, kNow + 1500ms));
      CPPUNIT_ASSERT(EvictedAt(run, kNow + 1700ms));
    });
  });
}

} // namespace oriolevane
