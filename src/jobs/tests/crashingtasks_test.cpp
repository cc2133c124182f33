#include <algorithm>

#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

constexpr int kMaxStarts = 5;

TaskKey
TaskOf(const std::string& aJob, int aIndex = 0)
{
  return { .mStep = { .mJob = JobId(aJob) }, .mIndex = aIndex };
}

// Lets every run of a task crash its worker, and the other runs succeed.
void
CrashWorkersOf(FakeCell& aCell, const TaskKey& aTask)
{
  aCell.mPlan = [aTask](const TaskKey& aStarted, RunNumber, const WorkerId&) {
    RunPlan plan{ .mDuration = 1500ms };
    if (aStarted == aTask) {
      plan.mCrashesWorkerAfter = 100ms;
    }
    return plan;
  };
}

void
SubmitInnocentJobs(FakeCell& aCell, int aCount)
{
  for (int job = 0; job < aCount; ++job) {
    aCell.Submit("innocent" + std::to_string(job),
                 SingleStepJob(MakeStep(4, 1500, 1500ms)),
                 MakeQueue());
  }
}

void
ExpectInnocentJobsCompleted(const FakeCell& aCell, int aCount)
{
  for (int job = 0; job < aCount; ++job) {
    CPPUNIT_ASSERT(aCell.StateOf("innocent" + std::to_string(job)) ==
                   JobState::Completed);
  }
}

void
ExpectGivenUp(const FakeCell& aCell, const TaskKey& aTask)
{
  CPPUNIT_ASSERT_EQUAL(
    std::string(), aCell.mViolations.empty() ? "" : aCell.mViolations.front());
  CPPUNIT_ASSERT(aCell.mStarts.at(aTask).size() <= kMaxStarts);
  CPPUNIT_ASSERT(aCell.mCrashes.at(aTask) >= 2);
  CPPUNIT_ASSERT(aCell.StateOf(aTask.mStep.mJob.mValue) == JobState::Failed);
}

void
DescribeCrashingTask(Section& aRoot)
{
  // Guards against a task that crashes server after server without an end.
  aRoot.Describe("a task that crashes its workers", [](Section& aSection) {
    aSection.It("is given up, and the jobs beside it complete", [] {
      for (const Millis restart : { 500ms, 2000ms, 4000ms, 9000ms }) {
        FakeCell cell;
        cell.mRestartDelay = restart;
        CrashWorkersOf(cell, TaskOf("deadly"));
        cell.RunFor(200ms);
        SubmitInnocentJobs(cell, 4);
        cell.Submit(
          "deadly", SingleStepJob(MakeStep(1, 1000, 1500ms)), MakeQueue());
        SubmitInnocentJobs(cell, 7);
        cell.RunFor(90000ms);
        ExpectGivenUp(cell, TaskOf("deadly"));
        ExpectInnocentJobsCompleted(cell, 7);
      }
    });
    aSection.It("is given up over two takeovers in between", [] {
      for (Millis takeover = 300ms; takeover < 9000ms; takeover += 700ms) {
        for (const Millis restart : { 2000ms, 9000ms }) {
          FakeCell cell;
          cell.mRestartDelay = restart;
          CrashWorkersOf(cell, TaskOf("deadly"));
          cell.RunFor(200ms);
          SubmitInnocentJobs(cell, 4);
          cell.Submit(
            "deadly", SingleStepJob(MakeStep(1, 1000, 1500ms)), MakeQueue());
          cell.RunFor(takeover);
          cell.TakeOver(1000ms);
          cell.RunFor(9000ms);
          cell.TakeOver(1000ms);
          cell.RunFor(60000ms);
          ExpectGivenUp(cell, TaskOf("deadly"));
          ExpectInnocentJobsCompleted(cell, 4);
        }
      }
    });
    aSection.It("is given up as a member of a gang", [] {
      FakeCell cell;
      CrashWorkersOf(cell, TaskOf("deadly", 2));
      cell.RunFor(200ms);
      SubmitInnocentJobs(cell, 4);
      StepSpec step = MakeStep(4, 3000, 1500ms);
      step.mGang = true;
      cell.Submit("deadly", SingleStepJob(step), MakeQueue());
      cell.RunFor(60000ms);
      ExpectGivenUp(cell, TaskOf("deadly", 2));
      ExpectInnocentJobsCompleted(cell, 4);
    });
  });
}

void
DescribeInnocentTasks(Section& aRoot)
{
  // Guards against innocent tasks that are given up.
  aRoot.Describe("a task whose worker was lost", [](Section& aSection) {
    aSection.It("is not given up while workers are merely cut off", [] {
      FakeCell cell({ .mWorkers = 3 });
      cell.RunFor(200ms);
      SubmitInnocentJobs(cell, 3);
      for (int round = 0; round < 5; ++round) {
        cell.RunFor(300ms);
        for (std::size_t worker = 0; worker < 3; ++worker) {
          cell.SetWorkerUnreachable(worker, true);
        }
        cell.RunFor(12000ms);
        for (std::size_t worker = 0; worker < 3; ++worker) {
          cell.SetWorkerUnreachable(worker, false);
        }
      }
      cell.RunFor(20000ms);
      ExpectInnocentJobsCompleted(cell, 3);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
    aSection.It("is not given up for workers that leave as planned", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      SubmitInnocentJobs(cell, 1);
      for (int round = 0; round < 4; ++round) {
        cell.RunFor(300ms);
        const std::size_t worker = std::stoul(
          cell.mStarts.at(TaskOf("innocent0")).back().mValue.substr(1));
        cell.DrainWorker(worker);
        cell.CrashWorker(worker);
        cell.RunFor(5300ms);
      }
      cell.RunFor(9000ms);
      CPPUNIT_ASSERT(cell.mCrashes.at(TaskOf("innocent0")) > 1);
      ExpectInnocentJobsCompleted(cell, 1);
    });
    aSection.It("completes though two racks crash, one after the other", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      SubmitInnocentJobs(cell, 8);
      cell.RunFor(300ms);
      for (const std::size_t rack : { 0U, 1U }) {
        for (std::size_t worker = 3 * rack; worker < 3 * rack + 3; ++worker) {
          cell.CrashWorker(worker);
          cell.ScheduleAfter(2000ms,
                             [&cell, worker] { cell.RestartWorker(worker); });
        }
        cell.RunFor(5800ms);
      }
      cell.RunFor(30000ms);
      const bool hitTwice =
        std::any_of(cell.mCrashes.begin(),
                    cell.mCrashes.end(),
                    [](const auto& aEntry) { return aEntry.second > 1; });
      CPPUNIT_ASSERT(hitTwice);
      ExpectInnocentJobsCompleted(cell, 8);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
}

// Submits a task whose first worker crashes and restarts.
void
SubmitSuspectedTask(FakeCell& aCell)
{
  aCell.Submit(
    "suspected", SingleStepJob(MakeStep(1, 1000, 3000ms)), MakeQueue());
  aCell.RunFor(200ms);
  const WorkerId first = aCell.mStarts.at(TaskOf("suspected")).front();
  const std::size_t worker = std::stoul(first.mValue.substr(1));
  aCell.CrashWorker(worker);
  aCell.RunFor(1000ms);
  aCell.RestartWorker(worker);
  // The former process may have the task until its lease has ended.
  aCell.RunFor(4600ms);
}

void
DescribePlacement(Section& aRoot)
{
  // Guards against innocent tasks that crash together with a suspected one.
  aRoot.Describe("a suspected task", [](Section& aSection) {
    aSection.It("shares no worker with other jobs while there is room", [] {
      FakeCell cell({ .mWorkers = 4 });
      cell.RunFor(200ms);
      cell.Submit(
        "before", SingleStepJob(MakeStep(1, 1000, 9000ms)), MakeQueue());
      cell.RunFor(200ms);
      SubmitSuspectedTask(cell);
      cell.Submit(
        "after", SingleStepJob(MakeStep(10, 1000, 500ms)), MakeQueue());
      cell.RunFor(300ms);
      const std::vector<WorkerId>& starts =
        cell.mStarts.at(TaskOf("suspected"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, starts.size());
      const std::size_t worker = std::stoul(starts.back().mValue.substr(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           cell.WorkerAt(worker).Runs().size());
    });
    aSection.It("does not wait for an empty worker", [] {
      FakeCell cell({ .mWorkers = 2 });
      cell.RunFor(200ms);
      cell.Submit(
        "before", SingleStepJob(MakeStep(2, 6000, 20000ms)), MakeQueue());
      cell.RunFor(200ms);
      SubmitSuspectedTask(cell);
      cell.RunFor(300ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                           cell.mStarts.at(TaskOf("suspected")).size());
    });
  });
}

} // namespace

void
CrashingTaskTests(Section& aRoot)
{
  DescribeCrashingTask(aRoot);
  DescribeInnocentTasks(aRoot);
  DescribePlacement(aRoot);
}

} // namespace oriolevane
