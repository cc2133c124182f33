#include "framework/log.h"
#include "framework/testing/testgroup.h"
#include "jobs/tests/fakecell.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

// Within this time a step starts for which there is room.
constexpr Millis kMaxWait{ 3000 };
constexpr Millis kForever{ 60000 };

QueuePolicy
MakeAdviceQueue(std::chrono::milliseconds aValidity)
{
  QueuePolicy queue = MakeQueue();
  queue.mAdvice = AdvicePolicy{ .mDecisionTime = 8ms,
                                .mTimePerWorker = 1ms,
                                .mValidity = aValidity };
  return queue;
}

StepSpec
MakeGang(int aCount, std::int64_t aMilliCores, Millis aEstimate)
{
  StepSpec step = MakeStep(aCount, aMilliCores, aEstimate);
  step.mGang = true;
  return step;
}

int
IndexOf(const WorkerId& aWorker)
{
  return std::stoi(aWorker.mValue.substr(1));
}

bool
HasStarted(const FakeCell& aCell, const std::string& aJob)
{
  for (const auto& [task, starts] : aCell.mStarts) {
    if (task.mStep.mJob.mValue == aJob) {
      return true;
    }
  }
  return false;
}

// Plays a step whose tickets expire while its workers are full, and which is
// less urgent than many steps of its queue that may use other, full workers.
bool
StartsBehindStepsWithoutRoom(int aStepsWithoutRoom)
{
  constexpr int kWorkers = 4;
  constexpr int kFullForever = 2;
  FakeCell cell({ .mWorkers = kWorkers });
  cell.mIsAllowed = [](const StepKey& aStep, const WorkerId& aWorker) {
    const bool forever = IndexOf(aWorker) < kFullForever;
    const std::string& job = aStep.mJob.mValue;
    return job.starts_with("blocked") || job == "forever" ? forever : !forever;
  };
  cell.mPlan = [](const TaskKey& aTask, RunNumber, const WorkerId&) {
    return RunPlan{ .mDuration = aTask.mStep.mJob.mValue == "forever"
                                   ? kForever
                                   : Millis(4000) };
  };
  cell.RunFor(200ms);
  QueuePolicy queue = MakeAdviceQueue(2000ms);
  queue.mLatencyTarget = kForever;
  cell.Submit(
    "forever", SingleStepJob(MakeStep(kFullForever, 8000, 500ms)), queue);
  cell.Submit("fills",
              SingleStepJob(MakeStep(kWorkers - kFullForever, 8000, 500ms)),
              queue);
  cell.RunFor(300ms);
  for (int job = 0; job < aStepsWithoutRoom; ++job) {
    cell.Submit("blocked" + std::to_string(job),
                SingleStepJob(MakeStep(1, 8000, 500ms)),
                queue);
  }
  cell.RunFor(50ms);
  cell.Submit("waits", SingleStepJob(MakeStep(1, 8000, 500ms)), queue);
  cell.RunFor(4000ms + kMaxWait);
  return HasStarted(cell, "waits");
}

// Plays a gang of which all approved workers are filled after its first
// answer. Many others are allowed and empty.
bool
GangStartsOnWorkersNotAskedAbout()
{
  constexpr int kWorkers = 120;
  FakeCell cell({ .mWorkers = kWorkers, .mMaxBatchRecords = kWorkers });
  std::set<WorkerId> askedFirst;
  bool first = true;
  cell.mIsAllowed = [&](const StepKey& aStep, const WorkerId& aWorker) {
    const bool gang = aStep.mJob.mValue == "gang";
    if (gang && first) {
      askedFirst.insert(aWorker);
    }
    return gang || askedFirst.contains(aWorker);
  };
  cell.mPlan = [](const TaskKey& aTask, RunNumber aRun, const WorkerId&) {
    const bool gang = aTask.mStep.mJob.mValue == "gang";
    return RunPlan{ .mDuration = gang ? Millis(500) : kForever,
                    .mFails = gang && aRun == RunNumber(1) };
  };
  cell.RunFor(200ms);
  QueuePolicy queue = MakeAdviceQueue(2000ms);
  queue.mPriority = 1;
  cell.Submit("gang", SingleStepJob(MakeGang(2, 4000, 500ms)), queue);
  cell.RunFor(300ms);
  first = false;
  const int filled = static_cast<int>(askedFirst.size());
  CPPUNIT_ASSERT(filled < kWorkers / 2);
  cell.Submit("fills",
              SingleStepJob(MakeStep(filled, 8000, 500ms)),
              MakeAdviceQueue(2000ms));
  cell.RunFor(1000ms + kMaxWait);
  return cell.StateOf("gang") == JobState::Completed;
}

// Plays a gang that may not use slow workers while it is on time, and finds no
// others. Nothing ends that could make room.
bool
LateGangStartsOnSlowWorkers()
{
  constexpr int kWorkers = 12;
  constexpr int kFast = 8;
  FakeCell cell({ .mWorkers = kWorkers, .mMaxBatchRecords = kWorkers });
  cell.mIsAllowed = [](const StepKey& aStep, const WorkerId& aWorker) {
    return aStep.mJob.mValue != "fills" || IndexOf(aWorker) < kFast;
  };
  cell.mPlan = [](const TaskKey& aTask, RunNumber, const WorkerId& aWorker) {
    const Millis usual = IndexOf(aWorker) < kFast ? 400ms : 1200ms;
    return RunPlan{ .mDuration =
                      aTask.mStep.mJob.mValue == "fills" ? kForever : usual };
  };
  cell.RunFor(200ms);
  for (int job = 0; job < 6; ++job) {
    cell.Submit("sample" + std::to_string(job),
                SingleStepJob(MakeStep(kWorkers, 8000, 500ms)),
                MakeQueue());
    cell.RunFor(1500ms);
  }
  const QueuePolicy queue = MakeAdviceQueue(kForever);
  cell.Submit("fills", SingleStepJob(MakeStep(kFast, 8000, 500ms)), queue);
  cell.RunFor(300ms);
  cell.Submit("gang", SingleStepJob(MakeGang(2, 8000, 500ms)), queue);
  cell.RunFor(500ms);
  CPPUNIT_ASSERT(!HasStarted(cell, "gang"));
  cell.RunFor(2000ms + kMaxWait);
  return HasStarted(cell, "gang");
}

// The time that a gang of one task on each worker waits while jobs that fail on
// all workers start again and again.
Millis
WaitBesideJobsThatFailEverywhere()
{
  constexpr int kWorkers = 6;
  constexpr int kFailingJobs = 12;
  constexpr int kManyAttempts = 1000;
  FakeCell cell({ .mWorkers = kWorkers });
  cell.mPlan = [](const TaskKey& aTask, RunNumber, const WorkerId&) {
    const bool fails = aTask.mStep.mJob.mValue.starts_with("fails");
    return RunPlan{ .mDuration = 300ms, .mFails = fails };
  };
  cell.RunFor(200ms);
  for (int job = 0; job < kFailingJobs; ++job) {
    cell.Submit("fails" + std::to_string(job),
                SingleStepJob(MakeStep(1, 1000, 300ms)),
                MakeQueue(kManyAttempts));
  }
  cell.RunFor(10000ms);
  const Millis submittedAt = cell.Now();
  cell.Submit(
    "waits", SingleStepJob(MakeGang(kWorkers, 4500, 300ms)), MakeQueue());
  while (!HasStarted(cell, "waits") && cell.Now() - submittedAt < kForever) {
    cell.RunFor(100ms);
  }
  return cell.Now() - submittedAt;
}

// The number of starts on a worker that fails all that it runs, of 100.
int
StartsOnFailingWorker()
{
  FakeCell cell({ .mWorkers = 6 });
  const WorkerId failing("w0");
  int starts = 0;
  cell.mPlan = [&](const TaskKey&, RunNumber, const WorkerId& aWorker) {
    starts += aWorker == failing ? 1 : 0;
    return RunPlan{ .mDuration = 300ms, .mFails = aWorker == failing };
  };
  cell.RunFor(200ms);
  for (int job = 0; job < 100; ++job) {
    cell.Submit("job" + std::to_string(job),
                SingleStepJob(MakeStep(1, 1000, 300ms)),
                MakeQueue());
    cell.RunFor(100ms);
  }
  return starts;
}

} // namespace

void
WaitingStepTests(Section& aRoot)
{
  aRoot.Describe("a step for which there is room", [](Section& aSection) {
    aSection.It("starts beside a few more urgent ones that have none",
                [] { CPPUNIT_ASSERT(StartsBehindStepsWithoutRoom(10)); });
    aSection.It("starts behind many more urgent ones that have none",
                [] { CPPUNIT_ASSERT(StartsBehindStepsWithoutRoom(60)); });
  });
  aRoot.Describe(
    "a gang whose approved workers are full", [](Section& aSection) {
      aSection.It("starts on workers that it had not asked about",
                  [] { CPPUNIT_ASSERT(GangStartsOnWorkersNotAskedAbout()); });
    });
  aRoot.Describe("a worker that fails all that it runs", [](Section& aSection) {
    aSection.It("gets few tasks",
                [] { CPPUNIT_ASSERT(StartsOnFailingWorker() <= 20); });
  });
  aRoot.Describe("a gang that waits for fast workers", [](Section& aSection) {
    aSection.It("starts on slow ones once it is late",
                [] { CPPUNIT_ASSERT(LateGangStartsOnSlowWorkers()); });
  });
}

void
FailingJobTests(Section& aRoot)
{
  aRoot.Describe("jobs that fail on all workers", [](Section& aSection) {
    aSection.It("leave the workers to others", [] {
      CPPUNIT_ASSERT(WaitBesideJobsThatFailEverywhere() <= kMaxWait);
    });
  });
}

} // namespace oriolevane

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "waiting steps", oriolevane::WaitingStepTests },
      { "failing jobs", oriolevane::FailingJobTests } });
}
