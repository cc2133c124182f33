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
      cell.Scheduler().Configure({ .mQueues = { MakeQueue() } },
                                 cell.NowMoment());
      cell.RunUntilFinal("job", 1000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
    });
  });
}

void
DescribeWorkerChange(Section& aRoot)
{
  const auto startsAfter = [](void (*aChange)(WorkerEntry&)) {
    FakeCell cell;
    cell.RunFor(200ms);
    QueuePolicy queue = MakeQueue();
    queue.mPool = PoolName("changed");
    StepSpec step = MakeStep(1, 1000, 100ms);
    step.mRequiredLabel = "changed";
    WorkerEntry entry = cell.WorkerAt(2).Entry();
    entry.mPool = queue.mPool;
    entry.mKind = step.mRequiredLabel;
    WorkerEntry before = entry;
    aChange(before);
    cell.Scheduler().RegisterWorker(before, cell.NowMoment());
    cell.Submit("job", SingleStepJob(step), queue);
    cell.RunFor(500ms);
    CPPUNIT_ASSERT(cell.mStarts.empty());
    cell.Scheduler().RegisterWorker(entry, cell.NowMoment());
    cell.RunUntilFinal("job", 1000ms);
    CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
  };
  // A restarted worker may report before the registry shows its new entry.
  aRoot.Describe(
    "a job that waits for a suitable worker", [&](Section& aSection) {
      aSection.It("starts once a worker's entry has the label", [startsAfter] {
        startsAfter([](WorkerEntry& aBefore) { aBefore.mKind = "other"; });
      });
      aSection.It("starts once a worker's entry is of the pool", [startsAfter] {
        startsAfter(
          [](WorkerEntry& aBefore) { aBefore.mPool = PoolName("other"); });
      });
    });
}

} // namespace

void
WaitingTaskTests(Section& aRoot)
{
  DescribeQueueChange(aRoot);
  DescribeWorkerChange(aRoot);
}

} // namespace oriolevane
