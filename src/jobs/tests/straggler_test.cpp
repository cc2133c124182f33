#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

// Submits a job of aTasks tasks that take 1 s, of which the first one takes 7 s
// on its first run, and on later runs too if aAlways.
void
SubmitWithStraggler(FakeCell& aCell, int aTasks, bool aAlways)
{
  aCell.mPlan =
    [aAlways](const TaskKey& aTask, RunNumber aRun, const WorkerId&) {
      const bool straggles = aTask.mIndex == 0 && (aAlways || aRun.mValue == 1);
      return RunPlan{ .mDuration = straggles ? 7000ms : 1000ms };
    };
  aCell.Submit(
    "job", SingleStepJob(MakeStep(aTasks, 2000, 1000ms)), MakeQueue());
}

// Runs a job with several tasks on each worker, so that their speeds are known.
void
LearnSpeeds(FakeCell& aCell)
{
  aCell.RunFor(200ms);
  aCell.Submit(
    "earlier", SingleStepJob(MakeStep(48, 2000, 200ms)), MakeQueue());
  aCell.RunUntilFinal("earlier", 4000ms);
}

const std::vector<WorkerId>&
StartsOfFirstTask(const FakeCell& aCell)
{
  const TaskKey key{
    .mStep = { .mJob = JobId("job"), .mOccurrence = 0, .mStep = 0 }, .mIndex = 0
  };
  return aCell.mStarts.at(key);
}

} // namespace

void
StragglerTests(Section& aRoot)
{
  aRoot.Describe(
    "a run that takes much longer than others of its step",
    [](Section& aSection) {
      // A step of 25 tasks had a straggler in every second job, and was late.
      aSection.It("is stopped, and its task starts on another worker", [] {
        FakeCell cell;
        LearnSpeeds(cell);
        SubmitWithStraggler(cell, 5, false);
        cell.RunUntilFinal("job", 4000ms);
        const std::vector<WorkerId>& starts = StartsOfFirstTask(cell);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, starts.size());
        CPPUNIT_ASSERT(starts[0] != starts[1]);
        CPPUNIT_ASSERT(cell.mViolations.empty());
      });
      // A run on a slow worker of unknown speed is no straggler.
      aSection.It("is left for longer on a worker of unknown speed", [] {
        FakeCell cell;
        cell.RunFor(200ms);
        SubmitWithStraggler(cell, 5, false);
        cell.RunFor(3000ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, StartsOfFirstTask(cell).size());
        cell.RunUntilFinal("job", 2000ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, StartsOfFirstTask(cell).size());
      });
      // A task that is long by itself would never end if it were moved each
      // time.
      aSection.It("is stopped once only", [] {
        FakeCell cell;
        cell.RunFor(200ms);
        SubmitWithStraggler(cell, 5, true);
        cell.RunUntilFinal("job", 12000ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, StartsOfFirstTask(cell).size());
        CPPUNIT_ASSERT(cell.mViolations.empty());
      });
      aSection.It("is left when there is nothing to compare it with", [] {
        FakeCell cell;
        cell.RunFor(200ms);
        SubmitWithStraggler(cell, 1, false);
        cell.RunUntilFinal("job", 9000ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, StartsOfFirstTask(cell).size());
      });
      // Moving it would lose its lease-bound run twice: it can be started again
      // only when the worker has reported the end.
      aSection.It("is left while its worker does not answer", [] {
        FakeCell cell({ .mWorkers = 2 });
        cell.RunFor(200ms);
        SubmitWithStraggler(cell, 5, false);
        cell.RunFor(300ms);
        cell.SetWorkerUnreachable(0, true);
        cell.SetWorkerUnreachable(1, true);
        cell.RunFor(3000ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, StartsOfFirstTask(cell).size());
        cell.SetWorkerUnreachable(0, false);
        cell.SetWorkerUnreachable(1, false);
        cell.RunUntilFinal("job", 15000ms);
        CPPUNIT_ASSERT(cell.mViolations.empty());
      });
    });
}

} // namespace oriolevane
