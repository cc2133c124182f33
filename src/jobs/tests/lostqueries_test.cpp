#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

// Guards against a step that asks no more, as it waits for a query that nobody
// has.
void
LostQueryTests(Section& aRoot)
{
  aRoot.Describe("a step whose query is lost", [](Section& aSection) {
    aSection.It("asks again once that is found out", [] {
      FakeCell cell;
      cell.mOnAdviceQuery = [](const AdviceQuery&) {};
      cell.RunFor(200ms);
      QueuePolicy queue = MakeQueue();
      queue.mAdvice = AdvicePolicy{ .mDecisionTime = 40ms,
                                    .mTimePerWorker = 1ms,
                                    .mValidity = 1000ms };
      cell.Submit("job", SingleStepJob(MakeStep(1, 1000, 100ms)), queue);
      cell.RunFor(500ms);
      const QueryCounts pending{ { { .mJob = JobId("job") }, 1 } };
      CPPUNIT_ASSERT_EQUAL(
        std::size_t{ 0 },
        cell.Scheduler().CheckPendingQueries(pending, cell.NowMoment()));
      CPPUNIT_ASSERT(cell.Scheduler().Counts().mLongestAdviceWait >= 400ms);
      CPPUNIT_ASSERT_EQUAL(
        std::size_t{ 1 },
        cell.Scheduler().CheckPendingQueries({}, cell.NowMoment()));
      cell.mOnAdviceQuery = nullptr;
      cell.RunFor(2000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
    });
  });
}

} // namespace oriolevane
