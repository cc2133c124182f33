#include "workerspeed/speedpreference.h"
#include "workerspeed/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace workerspeed;
using namespace std::chrono_literals;

void
SpeedPreferenceTests(Section& aRoot)
{
  aRoot.Describe("a single task", [](Section& aSection) {
    // Short urgent tasks were late on slow workers while fast ones were free.
    aSection.It("avoids workers on which it would be late", [] {
      const TaskTiming task{ .mExpected = 850ms, .mSlack = 400ms };
      CPPUNIT_ASSERT(SpeedCost(task, 1.7) > SpeedCost(task, 1.0));
      CPPUNIT_ASSERT_EQUAL(SpeedCost(task, 1.0), SpeedCost(task, 0.7));
    });
    aSection.It("uses slow workers first when it has ample slack", [] {
      const TaskTiming task{ .mExpected = 2000ms, .mSlack = 8000ms };
      CPPUNIT_ASSERT(SpeedCost(task, 1.7) < SpeedCost(task, 1.0));
      CPPUNIT_ASSERT(SpeedCost(task, 1.0) < SpeedCost(task, 0.7));
    });
    aSection.It("uses fast workers first when it is late anyway", [] {
      const TaskTiming task{ .mExpected = 850ms, .mSlack = -500ms };
      CPPUNIT_ASSERT(SpeedCost(task, 0.7) < SpeedCost(task, 1.0));
    });
  });
  aRoot.Describe("the speeds of workers", [](Section& aSection) {
    // Otherwise chance would change the placement on equally fast workers.
    aSection.It("do not differ when only few factors are far off", [] {
      std::vector<double> factors(20, 1.0);
      factors.back() = 3.0;
      factors.front() = 0.95;
      CPPUNIT_ASSERT(!SpeedsDiffer(factors));
      CPPUNIT_ASSERT(!SpeedsDiffer({}));
    });
    aSection.It("differ when a third of them is slow", [] {
      CPPUNIT_ASSERT(SpeedsDiffer({ 1.0, 1.0, 1.3, 1.0, 1.0, 1.3 }));
    });
    aSection.It("are relative to their mean", [] {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, MeanFactor({ 0.5, 2.0 }), 0.001);
      CPPUNIT_ASSERT_EQUAL(1.0, MeanFactor({}));
    });
  });
}

} // namespace oriolevane
