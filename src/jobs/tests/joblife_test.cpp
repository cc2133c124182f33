#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

TaskKey
MakeTaskKey(const std::string& aJob, int aStep, int aIndex)
{
  return { .mStep = { .mJob = JobId(aJob), .mStep = aStep }, .mIndex = aIndex };
}

void
DescribeOneStep(Section& aRoot)
{
  aRoot.Describe("a job of one step", [](Section& aSection) {
    aSection.It("starts only after its acceptance is recorded", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.SetStoreUnavailable(true);
      cell.Submit("job", SingleStepJob(MakeStep(2, 1000, 100ms)), MakeQueue());
      cell.RunFor(300ms);
      CPPUNIT_ASSERT(cell.mStarts.empty());
      cell.SetStoreUnavailable(false);
      cell.RunUntilFinal("job", 2000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, cell.mStarts.size());
    });
    aSection.It("is reported as completed only after that is recorded", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.Submit("job", SingleStepJob(MakeStep(1, 1000, 100ms)), MakeQueue());
      cell.RunFor(60ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Running);
      cell.SetStoreUnavailable(true);
      cell.RunFor(500ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Running);
      cell.SetStoreUnavailable(false);
      cell.RunFor(200ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
    });
    aSection.It("runs once though it is submitted several times", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      for (int attempt = 0; attempt < 3; ++attempt) {
        cell.Submit(
          "job", SingleStepJob(MakeStep(1, 1000, 100ms)), MakeQueue());
        cell.RunFor(100ms);
      }
      cell.RunFor(500ms);
      cell.Submit("job", SingleStepJob(MakeStep(1, 1000, 100ms)), MakeQueue());
      cell.RunFor(500ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           cell.mStarts.at(MakeTaskKey("job", 0, 0)).size());
    });
  });
}

void
DescribeWithdrawal(Section& aRoot)
{
  aRoot.Describe("a withdrawn submission", [](Section& aSection) {
    aSection.It("never runs if its record has not been taken for writing", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.SetStoreUnavailable(true);
      cell.Submit("job", SingleStepJob(MakeStep(1, 1000, 100ms)), MakeQueue());
      CPPUNIT_ASSERT(cell.Scheduler().Withdraw(JobId("job")));
      cell.SetStoreUnavailable(false);
      cell.RunFor(1000ms);
      CPPUNIT_ASSERT(cell.mStarts.empty());
      CPPUNIT_ASSERT(!cell.StateOf("job").has_value());
    });
    aSection.It("stays accepted if its record is being written", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.Submit("job", SingleStepJob(MakeStep(1, 1000, 100ms)), MakeQueue());
      cell.RunFor(4ms);
      CPPUNIT_ASSERT(!cell.Scheduler().Withdraw(JobId("job")));
      cell.RunUntilFinal("job", 2000ms);
    });
  });
}

void
DescribeLaterSteps(Section& aRoot)
{
  aRoot.Describe("steps that depend on earlier steps", [](Section& aSection) {
    aSection.It("start after all tasks of those have succeeded", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      JobSpec spec = SingleStepJob(MakeStep(3, 1000, 200ms));
      spec.mSteps.push_back(MakeStep(2, 1000, 100ms));
      spec.mSteps[1].mAfter = { 0 };
      cell.Submit("job", spec, MakeQueue());
      cell.RunUntilFinal("job", 3000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
}

void
DescribeFailures(Section& aRoot)
{
  aRoot.Describe("a task that fails", [](Section& aSection) {
    aSection.It("is retried until its job fails", [] {
      FakeCell cell;
      cell.mPlan = [](const TaskKey&, RunNumber, const WorkerId&) {
        return RunPlan{ .mDuration = 50ms, .mFails = true };
      };
      cell.RunFor(200ms);
      cell.Submit("job", SingleStepJob(MakeStep(1, 1000, 50ms)), MakeQueue(3));
      cell.RunUntilFinal("job", 20000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Failed);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 },
                           cell.mStarts.at(MakeTaskKey("job", 0, 0)).size());
    });
  });
}

void
DescribeCancelling(Section& aRoot)
{
  aRoot.Describe("a cancelled job", [](Section& aSection) {
    aSection.It("is stopped and starts no further tasks", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.Submit(
        "job", SingleStepJob(MakeStep(40, 4000, 3000ms)), MakeQueue());
      cell.RunFor(500ms);
      cell.Cancel("job");
      cell.RunFor(500ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Cancelled);
      for (std::size_t workerIndex = 0; workerIndex < 6; ++workerIndex) {
        CPPUNIT_ASSERT(cell.WorkerAt(workerIndex).Runs().empty());
      }
      cell.RunFor(5000ms);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
}

void
DescribeWorkerLimit(Section& aRoot)
{
  aRoot.Describe("a limit on the tasks per worker", [](Section& aSection) {
    aSection.It("spreads the tasks of a step over the workers", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      StepSpec step = MakeStep(6, 500, 300ms);
      step.mMaxPerWorker = 1;
      cell.Submit("job", SingleStepJob(step), MakeQueue());
      cell.RunFor(150ms);
      for (std::size_t workerIndex = 0; workerIndex < 6; ++workerIndex) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                             cell.WorkerAt(workerIndex).Runs().size());
      }
    });
    aSection.It("applies to gangs as well", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      StepSpec step = MakeStep(6, 500, 300ms);
      step.mMaxPerWorker = 1;
      step.mGang = true;
      cell.Submit("job", SingleStepJob(step), MakeQueue());
      cell.RunUntilFinal("job", 2000ms);
      for (int index = 0; index < 6; ++index) {
        CPPUNIT_ASSERT_EQUAL(
          std::size_t{ 1 },
          cell.mStarts.at(MakeTaskKey("job", 0, index)).size());
      }
    });
  });
}

void
DescribeLongRunning(Section& aRoot)
{
  aRoot.Describe("a long-running task", [](Section& aSection) {
    aSection.It("is restarted however it ends, until its job is cancelled", [] {
      FakeCell cell;
      cell.mPlan = [](const TaskKey&, RunNumber aRun, const WorkerId&) {
        return RunPlan{ .mDuration = 300ms, .mFails = aRun.mValue % 2 == 0 };
      };
      cell.RunFor(200ms);
      StepSpec step = MakeStep(1, 500, 300ms);
      step.mLongRunning = true;
      cell.Submit("job", SingleStepJob(step), MakeQueue(2));
      cell.RunFor(6000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Running);
      CPPUNIT_ASSERT(cell.mStarts.at(MakeTaskKey("job", 0, 0)).size() > 4);
      cell.Cancel("job");
      cell.RunFor(500ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Cancelled);
    });
    // Guards against tasks that serve users and stay away for as long as other
    // work waits, because their job was accepted long ago.
    aSection.It("is restarted before less urgent work that waits", [] {
      FakeCell cell({ .mWorkers = 1 });
      cell.mPlan = [](const TaskKey& aTask, RunNumber aRun, const WorkerId&) {
        const bool first = aTask.mStep.mJob == JobId("job") && aRun.mValue == 1;
        return RunPlan{ .mDuration = first ? 10000ms : 500ms };
      };
      cell.RunFor(200ms);
      StepSpec step = MakeStep(1, 4000, 400ms);
      step.mLongRunning = true;
      cell.Submit("job", SingleStepJob(step), MakeQueue());
      cell.RunFor(8000ms);
      QueuePolicy batch = MakeQueue();
      batch.mName = QueueName("batch");
      batch.mPriority = 2;
      batch.mLatencyTarget = 60000ms;
      cell.Submit("batch", SingleStepJob(MakeStep(60, 4000, 500ms)), batch);
      cell.RunFor(4000ms);
      CPPUNIT_ASSERT(cell.StateOf("batch") == JobState::Running);
      CPPUNIT_ASSERT(cell.mStarts.at(MakeTaskKey("job", 0, 0)).size() > 1);
    });
  });
}

} // namespace

void
JobLifecycleTests(Section& aRoot)
{
  DescribeOneStep(aRoot);
  DescribeWithdrawal(aRoot);
  DescribeLaterSteps(aRoot);
  DescribeFailures(aRoot);
  DescribeCancelling(aRoot);
  DescribeWorkerLimit(aRoot);
  DescribeLongRunning(aRoot);
}

} // namespace oriolevane
