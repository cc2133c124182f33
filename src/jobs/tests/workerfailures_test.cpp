#include <algorithm>

#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

void
DescribeCrash(Section& aRoot)
{
  aRoot.Describe("a worker that crashes", [](Section& aSection) {
    aSection.It("loses its tasks, which start elsewhere after its lease", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.Submit("job", SingleStepJob(MakeStep(6, 5000, 1500ms)), MakeQueue());
      cell.RunFor(300ms);
      cell.CrashWorker(1);
      cell.RunUntilFinal("job", 9000ms);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
    aSection.It("loses them after its lease, though it restarts sooner", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.Submit("job", SingleStepJob(MakeStep(6, 5000, 1500ms)), MakeQueue());
      cell.RunFor(300ms);
      cell.CrashWorker(1);
      cell.RunFor(200ms);
      cell.RestartWorker(1);
      cell.RunUntilFinal("job", 7000ms);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
}

void
DescribeLostAnswer(Section& aRoot)
{
  aRoot.Describe("a worker of which one answer is lost", [](Section& aSection) {
    aSection.It("is polled again at once", [] {
      constexpr Millis kTimeout = 300ms;
      FakeCell cell({ .mWorkers = 1 });
      cell.RunFor(500ms);
      std::vector<Millis> polls;
      cell.mDelivery = [&](const WorkerId&) {
        polls.push_back(cell.Now());
        return polls.size() == 1 ? Delivery::AnswerLost : Delivery::Normal;
      };
      cell.RunFor(1000ms);
      CPPUNIT_ASSERT(polls.size() > 1);
      CPPUNIT_ASSERT(polls[1] - polls[0] < kTimeout + 50ms);
    });
  });
}

void
DescribeRestart(Section& aRoot)
{
  aRoot.Describe("a worker that restarts under its id", [](Section& aSection) {
    aSection.It("may run a task ordered before its restart", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      const WorkerId restarted("w1");
      bool beforeRestart = true;
      int startsAfterRestart = 0;
      cell.mStartDelivery = [&](const StartOrder& aOrder) {
        const bool forRestarted = aOrder.mWorker.mId == restarted;
        startsAfterRestart += forRestarted && !beforeRestart ? 1 : 0;
        return forRestarted && beforeRestart ? Delivery::Dropped
                                             : Delivery::Normal;
      };
      cell.mDelivery = [&](const WorkerId& aWorker) {
        return aWorker == restarted ? Delivery::Dropped : Delivery::Normal;
      };
      cell.Submit(
        "job", SingleStepJob(MakeStep(12, 2000, 1500ms)), MakeQueue());
      cell.RunFor(100ms);
      cell.CrashWorker(1);
      cell.RunFor(100ms);
      cell.RestartWorker(1);
      beforeRestart = false;
      // The scheduler sends the order again. It reaches the restarted worker,
      // though the scheduler does not know of the restart yet.
      cell.RunFor(500ms);
      cell.mDelivery = nullptr;
      cell.RunUntilFinal("job", 9000ms);
      CPPUNIT_ASSERT(startsAfterRestart > 0);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
}

void
DescribeUnreachable(Section& aRoot)
{
  aRoot.Describe("an unreachable but running worker", [](Section& aSection) {
    aSection.It("is the only one to run its tasks until its lease ends", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.Submit(
        "job", SingleStepJob(MakeStep(6, 5000, 10000ms)), MakeQueue());
      cell.RunFor(300ms);
      cell.SetWorkerUnreachable(3, true);
      cell.RunFor(12000ms);
      cell.SetWorkerUnreachable(3, false);
      cell.RunUntilFinal("job", 25000ms);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
}

void
DescribeLateOrders(Section& aRoot)
{
  aRoot.Describe("orders that arrive late", [](Section& aSection) {
    aSection.It("are refused by the worker", [] {
      FakeCell cell({ .mSeed = 5 });
      cell.RunFor(200ms);
      int calls = 0;
      cell.mDelivery = [&calls](const WorkerId&) {
        return ++calls % 4 == 0 ? Delivery::Late : Delivery::Normal;
      };
      for (int job = 0; job < 10; ++job) {
        cell.Submit("job" + std::to_string(job),
                    SingleStepJob(MakeStep(4, 2000, 700ms)),
                    MakeQueue());
        cell.RunFor(150ms);
      }
      cell.RunFor(20000ms);
      for (int job = 0; job < 10; ++job) {
        CPPUNIT_ASSERT(cell.StateOf("job" + std::to_string(job)) ==
                       JobState::Completed);
      }
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
}

void
DescribeUnansweredOrders(Section& aRoot)
{
  aRoot.Describe("orders that no worker answers", [](Section& aSection) {
    aSection.It("leave their job in the count of waiting jobs", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.mDelivery = [](const WorkerId&) { return Delivery::Dropped; };
      const QueuePolicy queue = MakeQueue();
      cell.Submit("job", SingleStepJob(MakeStep(2, 1000, 500ms)), queue);
      cell.RunFor(250ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           cell.Scheduler().Waiting(queue.mName));
      cell.mDelivery = nullptr;
      cell.RunUntilFinal("job", 8000ms);
      CPPUNIT_ASSERT(cell.mViolations.empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                           cell.Scheduler().Waiting(queue.mName));
    });
  });
}

void
DescribeFailingWorker(Section& aRoot)
{
  aRoot.Describe("a worker on which all tasks fail", [](Section& aSection) {
    aSection.It("is avoided after the failures of two jobs", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      const WorkerId failing("w2");
      cell.mPlan =
        [failing](const TaskKey&, RunNumber, const WorkerId& aWorker) {
          return RunPlan{ .mDuration = 60ms, .mFails = aWorker == failing };
        };
      for (int job = 0; job < 20; ++job) {
        cell.Submit("job" + std::to_string(job),
                    SingleStepJob(MakeStep(1, 1000, 200ms)),
                    MakeQueue(4));
        cell.RunFor(50ms);
      }
      cell.RunFor(3000ms);
      for (int job = 0; job < 20; ++job) {
        CPPUNIT_ASSERT(cell.StateOf("job" + std::to_string(job)) ==
                       JobState::Completed);
      }
    });
  });
}

void
DescribeDraining(Section& aRoot)
{
  aRoot.Describe("a draining worker", [](Section& aSection) {
    aSection.It("gets no new tasks", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.DrainWorker(4);
      cell.Submit("job", SingleStepJob(MakeStep(40, 2000, 200ms)), MakeQueue());
      cell.RunUntilFinal("job", 5000ms);
      for (const auto& [task, starts] : cell.mStarts) {
        for (const WorkerId& worker : starts) {
          CPPUNIT_ASSERT(worker != WorkerId("w4"));
        }
      }
    });
    aSection.It("gets no start a second time when the first was lost", [] {
      FakeCell cell({ .mWorkers = 1 });
      cell.RunFor(200ms);
      int orders = 0;
      cell.mStartDelivery = [&orders](const StartOrder&) {
        ++orders;
        return Delivery::Dropped;
      };
      cell.Submit("job", SingleStepJob(MakeStep(1, 2000, 200ms)), MakeQueue());
      cell.RunFor(60ms);
      cell.DrainWorker(0);
      cell.RunFor(5000ms);
      CPPUNIT_ASSERT_EQUAL(1, orders);
    });
  });
}

// Submits a job of one task and returns the index of the worker that runs it.
std::size_t
StartTask(FakeCell& aCell, const StepSpec& aStep)
{
  aCell.RunFor(200ms);
  aCell.Submit("job", SingleStepJob(aStep), MakeQueue());
  aCell.RunFor(500ms);
  const std::size_t first = aCell.WorkerAt(0).Runs().empty() ? 1 : 0;
  CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, aCell.WorkerAt(first).Runs().size());
  return first;
}

// Gives notice that a worker leaves, and lets it leave.
void
Leave(FakeCell& aCell, std::size_t aWorker, Millis aNotice)
{
  aCell.DrainWorker(aWorker, aNotice);
  aCell.RunFor(aNotice);
  aCell.CrashWorker(aWorker);
}

// Guards against tasks that wait for the lease of a worker that has left.
void
DescribeLeaving(Section& aRoot)
{
  aRoot.Describe("a worker that leaves after a notice", [](Section& aSection) {
    aSection.It("has given up its long-running tasks by then", [] {
      FakeCell cell({ .mWorkers = 2 });
      StepSpec step = MakeStep(1, 2000, 500ms);
      step.mLongRunning = true;
      cell.mPlan = [](const TaskKey&, RunNumber, const WorkerId&) {
        return RunPlan{ .mDuration = 60s };
      };
      const std::size_t first = StartTask(cell, step);
      Leave(cell, first, 2000ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           cell.WorkerAt(1 - first).Runs().size());
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
    aSection.It("loses no work of tasks that can resume", [] {
      FakeCell cell({ .mWorkers = 2 });
      StepSpec step = MakeStep(1, 2000, 4000ms);
      step.mCheckpointing = true;
      cell.mPlan = [](const TaskKey&, RunNumber, const WorkerId&) {
        return RunPlan{ .mDuration = 4000ms, .mSavesCheckpoint = true };
      };
      Leave(cell, StartTask(cell, step), 2000ms);
      cell.RunUntilFinal("job", 2000ms);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
    aSection.It("lets other tasks start again at once", [] {
      FakeCell cell({ .mWorkers = 2 });
      const std::size_t first = StartTask(cell, MakeStep(1, 2000, 4000ms));
      Leave(cell, first, 2000ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           cell.WorkerAt(1 - first).Runs().size());
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
    aSection.It("finishes tasks that end before", [] {
      FakeCell cell({ .mWorkers = 2 });
      const std::size_t first = StartTask(cell, MakeStep(1, 2000, 2000ms));
      Leave(cell, first, 2000ms);
      cell.RunUntilFinal("job", 500ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           cell.mStarts.begin()->second.size());
    });
  });
}

} // namespace

void
WorkerFailureTests(Section& aRoot)
{
  DescribeCrash(aRoot);
  DescribeLostAnswer(aRoot);
  DescribeRestart(aRoot);
  DescribeUnreachable(aRoot);
  DescribeLateOrders(aRoot);
  DescribeUnansweredOrders(aRoot);
  DescribeFailingWorker(aRoot);
  DescribeDraining(aRoot);
  DescribeLeaving(aRoot);
}

} // namespace oriolevane
