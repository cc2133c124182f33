#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

// Guards against steps that wait until some other task ends, in a cell where
// none may be running.
void
DescribeQueueChange(Section& aRoot)
{
  aRoot.Describe("a job whose queue gets another pool", [](Section& aSection) {
    aSection.It("starts there though nothing else happens", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      QueuePolicy queue = MakeQueue();
      queue.mPool = PoolName("without workers");
      cell.Submit("job", SingleStepJob(MakeStep(2, 1000, 100ms)), queue);
      cell.RunFor(500ms);
      CPPUNIT_ASSERT(cell.mStarts.empty());
      cell.Scheduler().Configure({ .mQueues = { MakeQueue() } });
      cell.RunUntilFinal("job", 1000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
    });
  });
}

} // namespace

void
WaitingTaskTests(Section& aRoot)
{
  DescribeQueueChange(aRoot);
}

} // namespace oriolevane
