#include <algorithm>
#include <string>

#include "framework/log.h"
#include "framework/testing/testgroup.h"
#include "jobs/tests/fakecell.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

// Longer than a suspected worker is avoided, and the time for which a
// long-running task has to stay at work.
constexpr Millis kRecoveryTime{ 10000 };

// Submitted to workers of which most fail all that they start.
constexpr int kSpellJobs = 100;

// A cell of one worker, on which the runs of some jobs fail.
class TrialCell
{
public:
  TrialCell()
  {
    mCell.mPlan = [this](const TaskKey& aTask, RunNumber, const WorkerId&) {
      const bool fails = aTask.mStep.mJob.mValue.starts_with("fails");
      mFailingStarts += fails ? 1 : 0;
      return fails ? RunPlan{ .mDuration = 100ms, .mFails = true }
                   : RunPlan{ .mDuration = mRunTime };
    };
    mCell.RunFor(200ms);
  }

  void SubmitLongRunning(const std::string& aId)
  {
    StepSpec step = MakeStep(1, 1000, 400ms);
    step.mLongRunning = true;
    mCell.Submit(aId, SingleStepJob(step), MakeQueue());
    mCell.RunFor(300ms);
  }

  void SubmitShort(const std::string& aId)
  {
    mRunTime = 200ms;
    mCell.Submit(aId, SingleStepJob(MakeStep(1, 1000, 200ms)), MakeQueue());
  }

  // Lets jobs fail until the worker is suspected of a fault.
  void FailTwoJobs()
  {
    FailJob("fails0");
    FailJob("fails1");
    CPPUNIT_ASSERT(IsOnTrial());
  }

  void FailJob(const std::string& aId)
  {
    mCell.Submit(aId, SingleStepJob(MakeStep(1, 1000, 200ms)), MakeQueue(1));
    mCell.RunFor(300ms);
    CPPUNIT_ASSERT(mCell.StateOf(aId) == JobState::Failed);
  }

  std::size_t Runs() { return mCell.WorkerAt(0).Runs().size(); }
  bool IsOnTrial()
  {
    return mCell.Scheduler().Counts().mWorkerTrials.mWorkers > 0;
  }

  FakeCell mCell{ { .mWorkers = 1 } };
  // Of runs that do not fail.
  Millis mRunTime{ 600s };
  int mFailingStarts = 0;
};

// The number of starts on workers that fail all that they start for ten
// seconds, while short jobs arrive all the time.
int
StartsOnFailingWorkers(int aFailing, int aWorkers)
{
  constexpr Millis kFaultEnd{ 10200 };
  FakeCell cell({ .mWorkers = aWorkers });
  int starts = 0;
  cell.mPlan = [&](const TaskKey&, RunNumber, const WorkerId& aWorker) {
    const bool fails =
      cell.Now() < kFaultEnd && std::stoi(aWorker.mValue.substr(1)) < aFailing;
    starts += fails ? 1 : 0;
    return RunPlan{ .mDuration = 300ms, .mFails = fails };
  };
  cell.RunFor(200ms);
  for (int job = 0; job < kSpellJobs; ++job) {
    cell.Submit("job" + std::to_string(job),
                SingleStepJob(MakeStep(1, 1000, 300ms)),
                MakeQueue(4));
    cell.RunFor(100ms);
  }
  return starts;
}

void
WorkerTrialTests(Section& aRoot)
{
  aRoot.Describe("workers that fail all they start", [](Section& aSection) {
    // Guards against retries that go to failing workers without a pause.
    aSection.It("get few tasks when they are most of the cell", [] {
      CPPUNIT_ASSERT(StartsOnFailingWorkers(5, 6) <= kSpellJobs);
    });
    aSection.It("get few tasks when they are all of the cell", [] {
      CPPUNIT_ASSERT(StartsOnFailingWorkers(6, 6) <= kSpellJobs);
    });
  });
  aRoot.Describe("a worker on trial after failures", [](Section& aSection) {
    aSection.It("is used again beside long-running tasks from before", [] {
      TrialCell cell;
      cell.SubmitLongRunning("serves");
      cell.FailTwoJobs();
      cell.SubmitShort("short");
      cell.mCell.RunFor(kRecoveryTime);
      CPPUNIT_ASSERT(cell.mCell.StateOf("short") == JobState::Completed);
      CPPUNIT_ASSERT(!cell.IsOnTrial());
    });
    aSection.It("is used again once a long-running task stays at work", [] {
      TrialCell cell;
      cell.FailTwoJobs();
      for (const char* id : { "serves0", "serves1", "serves2" }) {
        cell.SubmitLongRunning(id);
      }
      cell.mCell.RunFor(kRecoveryTime);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, cell.Runs());
      CPPUNIT_ASSERT(!cell.IsOnTrial());
    });
    aSection.It("was not suspected for a failure before a long stay", [] {
      TrialCell cell;
      cell.FailJob("fails0");
      cell.SubmitLongRunning("serves");
      cell.mCell.RunFor(60s);
      cell.FailJob("fails1");
      CPPUNIT_ASSERT(!cell.IsOnTrial());
    });
    aSection.It("gets one task at a time until one stays at work", [] {
      TrialCell cell;
      cell.FailTwoJobs();
      const int before = cell.mFailingStarts;
      for (const char* id : { "fails2", "fails3", "fails4" }) {
        cell.SubmitLongRunning(id);
      }
      cell.mCell.RunFor(kRecoveryTime);
      CPPUNIT_ASSERT(cell.IsOnTrial());
      // One start in each 2.5 s for which a suspected worker is avoided.
      CPPUNIT_ASSERT(cell.mFailingStarts - before <= 5);
    });
  });
}

} // namespace

} // namespace oriolevane

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunTests(
    aCount, aArguments, { { "worker trials", oriolevane::WorkerTrialTests } });
}
