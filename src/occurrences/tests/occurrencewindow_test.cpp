#include "occurrences/occurrencewindow.h"

#include "occurrences/tests/testgroups.h"

namespace oriolevane {

using occurrences::OccurrenceWindow;
using testing::Section;

void
OccurrenceWindowTests(Section& aRoot)
{
  aRoot.Describe("the open occurrences of a schedule", [](Section& aSection) {
    aSection.It("are few, however many there are", [] {
      const OccurrenceWindow window({ .mCount = 2'000'000'000 });
      CPPUNIT_ASSERT_EQUAL(0, window.Begin());
      CPPUNIT_ASSERT_EQUAL(128, window.End());
    });
    aSection.It(
      "are fewer when they have many tasks or steps, but at least one", [] {
        const OccurrenceWindow wide({ .mCount = 500, .mTasks = 1000 });
        CPPUNIT_ASSERT_EQUAL(10, wide.End());
        const OccurrenceWindow widest({ .mCount = 500, .mTasks = 50'000 });
        CPPUNIT_ASSERT_EQUAL(1, widest.End());
        const OccurrenceWindow deep(
          { .mCount = 500, .mTasks = 200, .mSteps = 200 });
        CPPUNIT_ASSERT_EQUAL(5, deep.End());
      });
    aSection.It("begin after those that the store shows as finished", [] {
      const OccurrenceWindow window(
        { .mCount = 300, .mTasks = 1, .mFinishedBefore = 250 });
      CPPUNIT_ASSERT(!window.IsAhead(249));
      CPPUNIT_ASSERT(window.IsAhead(250) && window.IsAhead(299));
      CPPUNIT_ASSERT(!window.IsAhead(300));
      CPPUNIT_ASSERT_EQUAL(300, window.End());
    });
    aSection.It("move on only once the store shows that all earlier ones "
                "have finished",
                [] {
                  OccurrenceWindow window({ .mCount = 300 });
                  for (int number = 1; number < 20; ++number) {
                    window.Finish(number);
                  }
                  CPPUNIT_ASSERT_EQUAL(0, window.FinishedBefore());
                  CPPUNIT_ASSERT(!window.IsWorthRecording());
                  window.Finish(0);
                  CPPUNIT_ASSERT_EQUAL(20, window.FinishedBefore());
                  CPPUNIT_ASSERT(window.IsWorthRecording());
                  CPPUNIT_ASSERT_EQUAL(128, window.End());
                  window.OnRecorded(20);
                  CPPUNIT_ASSERT_EQUAL(148, window.End());
                  CPPUNIT_ASSERT(!window.IsWorthRecording());
                });
  });
  aRoot.Describe("a schedule", [](Section& aSection) {
    aSection.It("is complete when all its occurrences have finished, each "
                "counted once",
                [] {
                  OccurrenceWindow window({ .mCount = 2 });
                  window.Finish(1);
                  window.Finish(1);
                  CPPUNIT_ASSERT(!window.IsComplete());
                  window.Finish(0);
                  CPPUNIT_ASSERT(window.IsComplete());
                });
  });
}

} // namespace oriolevane
