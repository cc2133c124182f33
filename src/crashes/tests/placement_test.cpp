#include "crashes/placement.h"

#include "crashes/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace crashes;

void
CrashPlacementTests(Section& aRoot)
{
  // Guards against innocent tasks that share a worker with a suspected one.
  aRoot.Describe("a worker with runs of other jobs", [](Section& aSection) {
    aSection.It("is avoided by suspected tasks", [] {
      CPPUNIT_ASSERT(!AvoidsWorker(true, {}));
      CPPUNIT_ASSERT(AvoidsWorker(true, { .mHaveRuns = true }));
    });
    aSection.It("is avoided by all tasks if one of the runs is suspected", [] {
      CPPUNIT_ASSERT(!AvoidsWorker(false, { .mHaveRuns = true }));
      CPPUNIT_ASSERT(
        AvoidsWorker(false, { .mHaveRuns = true, .mHaveSuspectedRuns = true }));
    });
  });
}

} // namespace oriolevane
