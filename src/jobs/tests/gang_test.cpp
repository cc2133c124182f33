#include "framework/stablehash.h"
#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

JobSpec
GangJob(int aCount, std::int64_t aMilliCores, Millis aEstimate)
{
  StepSpec step = MakeStep(aCount, aMilliCores, aEstimate);
  step.mGang = true;
  return { .mPayload = "payload", .mSteps = { step } };
}

std::size_t
CountRuns(FakeCell& aCell, int aWorkers)
{
  std::size_t runs = 0;
  for (int workerIndex = 0; workerIndex < aWorkers; ++workerIndex) {
    runs += aCell.WorkerAt(workerIndex).Runs().size();
  }
  return runs;
}

void
DescribeDelayTolerantJobs(Section& aRoot)
{
  aRoot.Describe("gangs beside delay-tolerant jobs", [](Section& aSection) {
    aSection.It("complete in time though those exceed their estimates", [] {
      FakeCell cell({ .mWorkers = 30 });
      cell.mPlan = [](const TaskKey& aTask, RunNumber, const WorkerId&) {
        const bool gang = aTask.mStep.mJob.mValue.starts_with("gang");
        return RunPlan{ .mDuration = gang ? 600ms : 1500ms };
      };
      QueuePolicy tolerantQueue = MakeQueue();
      tolerantQueue.mName = QueueName("patient");
      tolerantQueue.mPriority = 2;
      tolerantQueue.mStretch = 60;
      QueuePolicy gangQueue = MakeQueue();
      gangQueue.mStretch = 8;
      gangQueue.mAdvice = AdvicePolicy{ .mDecisionTime = 100ms,
                                        .mTimePerWorker = 2ms,
                                        .mValidity = 2500ms };
      tolerantQueue.mAdvice = AdvicePolicy{ .mDecisionTime = 20ms,
                                            .mTimePerWorker = 1ms,
                                            .mValidity = 2500ms };
      cell.mIsAllowed = [](const StepKey& aStep, const WorkerId& aWorker) {
        // Half of the workers are allowed for a job, chosen by its id.
        return StableHash(aStep.mJob.mValue + aWorker.mValue) % 10 < 5;
      };
      cell.RunFor(200ms);
      const auto gangName = [](int aJob) {
        return "gang" + std::to_string(aJob);
      };
      const auto tolerantName = [](int aJob) {
        return "patient" + std::to_string(aJob);
      };
      for (int job = 0; job < 100; ++job) {
        cell.Submit(tolerantName(job),
                    { .mPayload = "", .mSteps = { MakeStep(6, 1500, 500ms) } },
                    tolerantQueue);
        if (job >= 20 && job < 60 && job % 4 == 0) {
          cell.Submit(gangName(job), GangJob(5, 5500, 600ms), gangQueue);
        }
        cell.RunFor(50ms);
      }
      for (int job = 20; job < 60; job += 4) {
        CPPUNIT_ASSERT(cell.StateOf(gangName(job)) == JobState::Completed);
      }
      cell.RunFor(30000ms);
      for (int job = 0; job < 100; ++job) {
        CPPUNIT_ASSERT(cell.StateOf(tolerantName(job)) == JobState::Completed);
      }
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
}

void
DescribeLargeGangs(Section& aRoot)
{
  aRoot.Describe("a gang larger than the free capacity", [](Section& aSection) {
    aSection.It("starts no task until all of them fit", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.Submit("first", GangJob(10, 4000, 600ms), MakeQueue());
      cell.RunFor(100ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 10 }, CountRuns(cell, 6));
      cell.Submit("second", GangJob(8, 4000, 300ms), MakeQueue());
      cell.RunFor(300ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 10 }, CountRuns(cell, 6));
      cell.RunUntilFinal("second", 3000ms);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
    // Guards against reservations for a start that never comes, as what the
    // gang waits for does not end.
    aSection.It("keeps no room while it waits for a long-running task", [] {
      FakeCell cell({ .mWorkers = 2 });
      cell.RunFor(200ms);
      cell.mPlan = [](const TaskKey& aTask, RunNumber, const WorkerId&) {
        const bool lasts = aTask.mStep.mJob == JobId("serving");
        return RunPlan{ .mDuration = lasts ? 60000ms : 500ms };
      };
      StepSpec serving = MakeStep(1, 5000, 400ms);
      serving.mLongRunning = true;
      cell.Submit("serving", SingleStepJob(serving), MakeQueue());
      cell.RunFor(500ms);
      cell.Submit("gang", GangJob(2, 5000, 1000ms), MakeQueue());
      cell.RunFor(500ms);
      QueuePolicy lessUrgent = MakeQueue();
      lessUrgent.mStretch = 2.5;
      cell.Submit(
        "small", SingleStepJob(MakeStep(1, 4000, 2000ms)), lessUrgent);
      cell.RunUntilFinal("small", 1500ms);
      CPPUNIT_ASSERT(cell.StateOf("small") == JobState::Completed);
      cell.Cancel("serving");
      cell.RunUntilFinal("gang", 3000ms);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
}

} // namespace

void
GangTests(Section& aRoot)
{
  DescribeLargeGangs(aRoot);
  aRoot.Describe("a gang with a member that fails", [](Section& aSection) {
    aSection.It("restarts all members under one run number", [] {
      FakeCell cell;
      cell.mPlan = [](const TaskKey& aTask, RunNumber aRun, const WorkerId&) {
        return RunPlan{ .mDuration = 100ms,
                        .mFails = aRun.mValue == 1 && aTask.mIndex == 2 };
      };
      cell.RunFor(200ms);
      cell.Submit("job", GangJob(4, 1000, 200ms), MakeQueue());
      cell.RunUntilFinal("job", 4000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
    aSection.It("counts one failure per run of the gang", [] {
      FakeCell cell;
      cell.mPlan = [](const TaskKey&, RunNumber aRun, const WorkerId&) {
        return RunPlan{ .mDuration = 100ms, .mFails = aRun.mValue < 3 };
      };
      cell.RunFor(200ms);
      cell.Submit("job", GangJob(4, 1000, 200ms), MakeQueue(3));
      cell.RunUntilFinal("job", 15000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
    });
  });
  aRoot.Describe("a gang with an unanswered order", [](Section& aSection) {
    aSection.It("starts once, after the order is sent again", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      int orders = 0;
      cell.mStartDelivery = [&orders](const StartOrder&) {
        return ++orders == 3 ? Delivery::Dropped : Delivery::Normal;
      };
      cell.Submit("job", GangJob(5, 4000, 400ms), MakeQueue());
      cell.RunUntilFinal("job", 1200ms);
      for (const auto& [task, starts] : cell.mStarts) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, starts.size());
      }
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
    aSection.It("does not run twice when the order was carried out", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      int calls = 0;
      cell.mDelivery = [&calls](const WorkerId&) {
        return ++calls == 3 ? Delivery::AnswerLost : Delivery::Normal;
      };
      cell.Submit("job", GangJob(5, 4000, 400ms), MakeQueue());
      cell.RunUntilFinal("job", 10000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
  DescribeDelayTolerantJobs(aRoot);
}

} // namespace oriolevane
