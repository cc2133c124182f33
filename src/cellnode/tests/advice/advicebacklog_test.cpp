#include "cellnode/tests/advice/policyservice.h"
#include "framework/log.h"
#include "framework/stablehash.h"
#include "framework/testing/testgroup.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

constexpr int kWorkers = 48;
constexpr int kNodes = 6;
// In a hundred; the policy service allows this share of the workers for a step.
constexpr std::uint64_t kAllowedPercent = 35;
// Far more batch jobs than the policy service can answer for.
constexpr Millis kBatchInterval{ 80 };
constexpr Millis kLoadTime{ 12000 };
// Within this time a task that is to run all the time runs again.
constexpr Millis kMaxAway{ 2000 };
// Twice the time for which a ticket can be used.
constexpr Millis kMaxQueryWait{ 5000 };
const std::string kLasting = "lasting";

QueuePolicy
MakeAdviceQueue(const std::string& aName, int aPriority)
{
  QueuePolicy queue = MakeQueue();
  queue.mName = QueueName(aName);
  queue.mPriority = aPriority;
  queue.mStretch = 2.2;
  queue.mAdvice = AdvicePolicy{ .mDecisionTime = 400ms,
                                .mTimePerWorker = 6ms,
                                .mValidity = 2500ms };
  return queue;
}

// A cell with much room, whose policy service gets more queries about batch
// jobs than it can answer.
class OverloadedPolicyService
{
public:
  OverloadedPolicyService()
    : mCell({ .mWorkers = kWorkers,
              .mCapacity = { .mMilliCores = 16000, .mMemoryMiB = 64000 },
              .mMaxBatchRecords = 90 })
    , mService(mCell, kNodes)
  {
    mCell.mIsAllowed = [](const StepKey& aStep, const WorkerId& aWorker) {
      const std::uint64_t hash =
        StableHash(aWorker.mValue, StableHash(aStep.ToText()));
      return hash % 100 < kAllowedPercent;
    };
    mCell.mPlan = [this](const TaskKey& aTask, RunNumber, const WorkerId&) {
      const bool lasting = aTask.mStep.mJob.mValue.starts_with(kLasting);
      return lasting ? RunPlan{ .mDuration = mLastingRunTime, .mFails = true }
                     : RunPlan{ .mDuration = 400ms };
    };
    mCell.RunFor(500ms);
  }

  // Submits long-running jobs whose runs fail when the load has lasted.
  void SubmitLasting(int aJobs, int aTasks)
  {
    StepSpec step = MakeStep(aTasks, 2000, 400ms);
    step.mLongRunning = true;
    for (int job = 0; job < aJobs; ++job) {
      mCell.Submit(kLasting + std::to_string(job),
                   SingleStepJob(step),
                   MakeAdviceQueue("services", 1));
    }
    mLastingJobs = aJobs;
    mLastingTasks = aTasks;
    mCell.RunFor(2000ms);
  }

  void RunLoad(Millis aTime)
  {
    const Millis end = mCell.Now() + aTime;
    while (mCell.Now() < end) {
      mCell.Submit("batch" + std::to_string(mBatchJobs++),
                   SingleStepJob(MakeStep(4, 2000, 400ms)),
                   MakeAdviceQueue("batch", 2));
      mCell.RunFor(kBatchInterval);
    }
  }

  // The longest time for which fewer long-running tasks ran than were asked
  // for.
  Millis LongestAbsence(Millis aTime)
  {
    Millis longest{ 0 };
    Millis absence{ 0 };
    const Millis end = mCell.Now() + aTime;
    while (mCell.Now() < end) {
      RunLoad(kBatchInterval);
      absence = AllRun() ? Millis(0) : absence + kBatchInterval;
      longest = std::max(longest, absence);
    }
    return longest;
  }

  int FinishedBatchJobs()
  {
    int finished = 0;
    for (int job = 0; job < mBatchJobs; ++job) {
      finished +=
        mCell.StateOf("batch" + std::to_string(job)) == JobState::Completed ? 1
                                                                            : 0;
    }
    return finished;
  }

  Millis mLastingRunTime = kLoadTime;

private:
  bool AllRun() const
  {
    return mCell.Scheduler().Counts().mLongRunningWaits.mSteps == 0;
  }

  mutable FakeCell mCell;
  PolicyService mService;
  int mLastingJobs = 0;
  int mLastingTasks = 0;
  int mBatchJobs = 0;
};

// The longest wait of a query while steps of several queues wait in a cell that
// is full.
Duration
LongestQueryWaitInFullCell(int aQueues)
{
  constexpr int kJobsPerQueue = 30;
  FakeCell cell({ .mWorkers = kWorkers, .mMaxBatchRecords = 90 });
  PolicyService service(cell, kNodes);
  cell.RunFor(500ms);
  cell.Submit(
    "fills", SingleStepJob(MakeStep(kWorkers, 8000, 60000ms)), MakeQueue());
  cell.RunFor(500ms);
  for (int job = 0; job < aQueues * kJobsPerQueue; ++job) {
    cell.Submit("waits" + std::to_string(job),
                SingleStepJob(MakeStep(1, 8000, 400ms)),
                MakeAdviceQueue("q" + std::to_string(job % aQueues), 1));
  }
  // All steps get their first answers.
  cell.RunFor(Millis(200 * aQueues * kJobsPerQueue));
  Duration longest{};
  for (int second = 0; second < 10; ++second) {
    cell.RunFor(1000ms);
    longest = std::max(longest, service.Dispatcher().Backlog().mLongestWait);
  }
  return longest;
}

// The time until the first answer for a batch step, while long-running steps
// wait in a cell that is full.
Millis
FirstAnswerBesideLongRunningSteps(int aLongRunningJobs)
{
  const JobId batch("batch");
  FakeCell cell({ .mWorkers = kWorkers, .mMaxBatchRecords = 90 });
  PolicyService service(cell, kNodes);
  std::optional<Millis> answeredAt;
  cell.mIsAllowed = [&](const StepKey& aStep, const WorkerId&) {
    if (aStep.mJob == batch && !answeredAt.has_value()) {
      answeredAt = cell.Now();
    }
    return true;
  };
  cell.RunFor(500ms);
  cell.Submit(
    "fills", SingleStepJob(MakeStep(kWorkers, 8000, 60000ms)), MakeQueue());
  cell.RunFor(500ms);
  StepSpec step = MakeStep(1, 8000, 400ms);
  step.mLongRunning = true;
  for (int job = 0; job < aLongRunningJobs; ++job) {
    cell.Submit(kLasting + std::to_string(job),
                SingleStepJob(step),
                MakeAdviceQueue("q" + std::to_string(job % 4), 1));
  }
  cell.RunFor(20000ms);
  const Millis submittedAt = cell.Now();
  cell.Submit(batch.mValue,
              SingleStepJob(MakeStep(1, 8000, 400ms)),
              MakeAdviceQueue("batch", 2));
  cell.RunFor(20000ms);
  return answeredAt.value_or(cell.Now()) - submittedAt;
}

void
AdviceBacklogTests(Section& aRoot)
{
  aRoot.Describe(
    "long-running steps that wait for room", [](Section& aSection) {
      aSection.It("leave a batch step its first answer", [] {
        CPPUNIT_ASSERT(FirstAnswerBesideLongRunningSteps(120) <= kMaxQueryWait);
      });
    });
  aRoot.Describe("renewals of tickets in a full cell", [](Section& aSection) {
    aSection.It("do not grow with the number of steps that wait", [] {
      CPPUNIT_ASSERT(LongestQueryWaitInFullCell(6) <= kMaxQueryWait);
    });
  });
  aRoot.Describe(
    "while batch jobs overload the policy service", [](Section& aSection) {
      // Guards against the incident in
      // docs/incidents/long-running-tasks-stay-away.md.
      aSection.It("a long-running task that failed runs again", [] {
        OverloadedPolicyService cell;
        cell.SubmitLasting(1, 8);
        cell.RunLoad(8000ms);
        CPPUNIT_ASSERT(cell.LongestAbsence(8000ms) <= kMaxAway);
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
    aCount,
    aArguments,
    { { "advice backlog", oriolevane::AdviceBacklogTests } });
}
