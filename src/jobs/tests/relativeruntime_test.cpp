#include "jobs/internal/relativeruntime.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

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
TestSteps(Section& aRoot)
{
  aRoot.Describe("the tasks of a step", [](Section& aSection) {
    aSection.It("are compared with each other", [] {
      const std::vector<double> ratios = RelativeTimes(
        { { 1000ms }, { 1000ms }, { 1000ms }, { 1000ms }, { 1300ms } });
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, ratios.size());
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1.3, ratios.back(), 0.001);
    });
    aSection.It("are not compared when they are few", [] {
      CPPUNIT_ASSERT(RelativeTimes({ { 1000ms }, { 1300ms } }).empty());
    });
    aSection.It("do not make a worker look average beside others as slow", [] {
      // Single tasks often share the same slow workers.
      const TaskRunTime slow{ .mTime = 1300ms, .mWorkerFactor = 1.3 };
      const std::vector<double> ratios =
        RelativeTimes({ slow, slow, slow, slow, slow });
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1.3, ratios.front(), 0.001);
    });
  });
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
  });
}

} // namespace

void
RelativeRunTimeTests(Section& aRoot)
{
  TestSteps(aRoot);
  TestWorkers(aRoot);
}

} // namespace oriolevane
