#include "workerspeed/relativeruntime.h"
#include "workerspeed/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace workerspeed;

namespace {

RelativeRunTime
After(int aSamples, double aRatio)
{
  RelativeRunTime runTime;
  for (int sample = 0; sample < aSamples; ++sample) {
    runTime.AddSample(aRatio);
  }
  return runTime;
}

void
TestWorkers(Section& aRoot)
{
  aRoot.Describe("a worker", [](Section& aSection) {
    aSection.It("has no known speed after a few tasks", [] {
      CPPUNIT_ASSERT(After(2, 1.3).Speed() == WorkerSpeed::Unknown);
      CPPUNIT_ASSERT_EQUAL(1.0, After(2, 1.3).Factor());
    });
    aSection.It("is slow when its tasks take longer than others", [] {
      CPPUNIT_ASSERT(After(10, 1.18).Speed() == WorkerSpeed::Slow);
      CPPUNIT_ASSERT(After(10, 0.91).Speed() == WorkerSpeed::Fast);
    });
    aSection.It("becomes slow when it slows down later", [] {
      RelativeRunTime runTime = After(100, 1.0);
      for (int sample = 0; sample < 10; ++sample) {
        runTime.AddSample(3.0);
      }
      CPPUNIT_ASSERT(runTime.IsSlow());
    });
    // A mean of all samples would make a worker with a straggler slow.
    aSection.It("does not become slow by single stragglers", [] {
      RelativeRunTime runTime = After(10, 1.0);
      runTime.AddSample(7.0);
      runTime.AddSample(7.0);
      CPPUNIT_ASSERT_EQUAL(1.0, runTime.Factor());
    });
    // Otherwise a slowdown of some seconds would keep work away for long.
    aSection.It("is fast again soon after a temporary slowdown", [] {
      RelativeRunTime runTime = After(16, 1.0);
      for (int sample = 0; sample < 6; ++sample) {
        runTime.AddSample(2.0);
      }
      CPPUNIT_ASSERT(!runTime.IsSlow());
      for (int sample = 0; sample < 6; ++sample) {
        runTime.AddSample(1.0);
      }
      CPPUNIT_ASSERT_EQUAL(1.0, runTime.Factor());
    });
  });
}

} // namespace

void
RelativeRunTimeTests(Section& aRoot)
{
  TestWorkers(aRoot);
}

} // namespace oriolevane
