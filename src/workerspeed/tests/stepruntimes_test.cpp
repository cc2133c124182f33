#include "workerspeed/stepruntimes.h"
#include "workerspeed/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace workerspeed;
using namespace std::chrono_literals;

namespace {

// Runs that took aTimes on workers with aFactor.
StepRunTimes
After(const std::vector<Duration>& aTimes, double aFactor = 1.0)
{
  StepRunTimes times;
  for (const Duration time : aTimes) {
    times.AddEnded("worker", time, aFactor);
  }
  return times;
}

void
TestTypical(Section& aRoot)
{
  aRoot.Describe("the typical run time of a step", [](Section& aSection) {
    // The tasks that end first are the shorter ones, so that a step would look
    // shorter than it is, and all later runs like stragglers.
    aSection.It("is not known before the median task has ended", [] {
      CPPUNIT_ASSERT(!After({ 800ms }).Typical({ 800ms, 800ms }).has_value());
      CPPUNIT_ASSERT(
        !After({ 800ms, 900ms }).Typical({ 900ms, 900ms, 900ms }).has_value());
    });
    aSection.It("is known while the last task still runs", [] {
      CPPUNIT_ASSERT(Duration(1000ms) ==
                     *After({ 800ms, 1000ms }).Typical({ 1500ms }));
    });
    aSection.It("is not changed by tasks that have started late", [] {
      CPPUNIT_ASSERT(Duration(1000ms) ==
                     *After({ 800ms, 1000ms, 1100ms }).Typical({ 100ms }));
    });
    aSection.It("is not known from two tasks", [] {
      CPPUNIT_ASSERT(!After({ 1000ms, 1300ms }).Typical({}).has_value());
    });
    aSection.It("is that of a mean worker", [] {
      CPPUNIT_ASSERT(Duration(1000ms) ==
                     *After({ 2000ms, 2000ms, 2000ms }, 2.0).Typical({}));
    });
  });
}

void
TestSamples(Section& aRoot)
{
  aRoot.Describe("the tasks of a step", [](Section& aSection) {
    aSection.It("are compared with each other", [] {
      const std::vector<SpeedSample> samples =
        After({ 1000ms, 1000ms, 1000ms, 1000ms, 1300ms }).TakeSamples({});
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, samples.size());
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1.3, samples.back().mRatio, 0.001);
    });
    aSection.It("are not compared when they are few", [] {
      CPPUNIT_ASSERT(After({ 1000ms, 1300ms }).TakeSamples({}).empty());
    });
    aSection.It("do not make a worker look average beside others as slow", [] {
      // Single tasks often share the same slow workers.
      const std::vector<SpeedSample> samples =
        After({ 1300ms, 1300ms, 1300ms, 1300ms, 1300ms }, 1.3).TakeSamples({});
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1.3, samples.front().mRatio, 0.001);
    });
    // A run that counted twice would make its worker's speed too certain.
    aSection.It("give one sample each", [] {
      StepRunTimes times = After({ 800ms, 1000ms });
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                           times.TakeSamples({ 1500ms }).size());
      times.AddEnded("worker", 7000ms, 1.0);
      const std::vector<SpeedSample> samples = times.TakeSamples({});
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, samples.size());
      CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0, samples.front().mRatio, 0.001);
    });
  });
}

} // namespace

void
StepRunTimesTests(Section& aRoot)
{
  TestTypical(aRoot);
  TestSamples(aRoot);
}

} // namespace oriolevane
