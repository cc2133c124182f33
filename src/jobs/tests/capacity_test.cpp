#include "jobs/internal/fleet.h"
#include "jobs/internal/reservation.h"
#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

constexpr Resources kFull{ .mMilliCores = 8000, .mMemoryMiB = 8000 };
constexpr Resources kQuarter{ .mMilliCores = 2000, .mMemoryMiB = 8000 };
constexpr Resources kNone{};
// Longer than the registry takes to show a changed capacity.
constexpr Millis kUntilKnown = 320ms;
constexpr std::size_t kManyWorkers = 200;
const TeamId kTeam("red");
const TeamId kOtherTeam("blue");

JobSpec
Gang(int aMembers, std::int64_t aMilliCores, Millis aEstimate)
{
  JobSpec job = SingleStepJob(MakeStep(aMembers, aMilliCores, aEstimate));
  job.mSteps[0].mGang = true;
  return job;
}

JobSpec
Tasks(int aCount, std::int64_t aMilliCores, Millis aEstimate)
{
  return SingleStepJob(MakeStep(aCount, aMilliCores, aEstimate));
}

void
SetAll(FakeCell& aCell, std::size_t aWorkers, const Resources& aCapacity)
{
  for (std::size_t worker = 0; worker < aWorkers; ++worker) {
    aCell.SetWorkerCapacity(worker, aCapacity);
  }
}

void
ExpectNoViolation(const FakeCell& aCell)
{
  std::string violations;
  for (const std::string& violation : aCell.mViolations) {
    violations += violation + "\n";
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), violations);
}

std::size_t
RunsOn(FakeCell& aCell, std::size_t aWorker)
{
  return aCell.WorkerAt(aWorker).Runs().size();
}

void
DescribeShrink(Section& aRoot)
{
  aRoot.Describe("a worker that shrinks below its runs", [](Section& aSection) {
    aSection.It("gets single tasks only once enough runs have ended", [] {
      // Guards against starts that fit the earlier capacity alone.
      FakeCell cell({ .mWorkers = 2 });
      cell.RunFor(200ms);
      cell.Submit("first", Tasks(8, 2000, 1500ms), MakeQueue());
      cell.RunFor(100ms);
      SetAll(cell, 2, kQuarter);
      cell.RunFor(kUntilKnown);
      cell.Submit("second", Tasks(12, 1000, 300ms), MakeQueue());
      cell.RunFor(300ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, RunsOn(cell, 0));
      cell.RunUntilFinal("second", 6000ms);
      ExpectNoViolation(cell);
    });
    aSection.It("counts runs that are being stopped", [] {
      // Guards against starts beside cancelled tasks that still run.
      FakeCell cell({ .mWorkers = 1 });
      cell.mPlan = [](const TaskKey&, RunNumber, const WorkerId&) {
        return RunPlan{ .mDuration = 3000ms, .mStopTime = 800ms };
      };
      cell.RunFor(200ms);
      cell.Submit("cancelled", Tasks(4, 2000, 3000ms), MakeQueue());
      cell.RunFor(100ms);
      SetAll(cell, 1, kQuarter);
      cell.RunFor(kUntilKnown);
      cell.Cancel("cancelled");
      cell.Submit("next", Tasks(2, 2000, 3000ms), MakeQueue());
      cell.RunFor(700ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, RunsOn(cell, 0));
      cell.RunFor(400ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, RunsOn(cell, 0));
      ExpectNoViolation(cell);
    });
    aSection.It("holds gangs and reservations to the new capacity", [] {
      // Guards against a gang that starts on what was reserved before.
      FakeCell cell({ .mWorkers = 4 });
      cell.RunFor(200ms);
      cell.Submit("first", Tasks(16, 2000, 1000ms), MakeQueue());
      cell.RunFor(100ms);
      cell.Submit("gang", Gang(6, 4000, 400ms), MakeQueue());
      cell.Submit("fill", Tasks(40, 500, 200ms), MakeQueue());
      cell.RunFor(100ms);
      cell.SetWorkerCapacity(0, kQuarter);
      cell.SetWorkerCapacity(1, kNone);
      cell.RunFor(3000ms);
      CPPUNIT_ASSERT(cell.StateOf("gang") != JobState::Completed);
      CPPUNIT_ASSERT(cell.StateOf("fill") == JobState::Completed);
      cell.SetWorkerCapacity(1, kFull);
      cell.RunUntilFinal("gang", 2000ms);
      ExpectNoViolation(cell);
    });
    aSection.It("gets no start again whose first order was lost", [] {
      // Guards against resent orders that were decided for a larger capacity.
      FakeCell cell({ .mWorkers = 1 });
      cell.RunFor(200ms);
      cell.mStartDelivery = [&cell](const StartOrder& aOrder) {
        const bool late =
          aOrder.mTask.mStep.mJob.mValue == "lost" && cell.Now() < 900ms;
        return late ? Delivery::Dropped : Delivery::Normal;
      };
      cell.Submit("runs", Tasks(3, 2000, 3000ms), MakeQueue());
      cell.RunFor(200ms);
      cell.SetWorkerCapacity(0, kQuarter);
      cell.RunFor(150ms);
      cell.Submit("lost", Tasks(1, 2000, 300ms), MakeQueue());
      cell.RunUntilFinal("lost", 8000ms);
      ExpectNoViolation(cell);
    });
  });
}

void
DescribeGrowth(Section& aRoot)
{
  aRoot.Describe("a worker that grows", [](Section& aSection) {
    aSection.It("gets waiting tasks without another event", [] {
      // Guards against tasks that wait on a worker that has room for them.
      FakeCell cell({ .mWorkers = 1 });
      cell.RunFor(200ms);
      SetAll(cell, 1, kNone);
      cell.RunFor(kUntilKnown);
      cell.Submit("job", Tasks(1, 4000, 100ms), MakeQueue());
      cell.Submit("gang", Gang(2, 2000, 100ms), MakeQueue());
      cell.RunFor(1000ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, cell.mStarts.size());
      SetAll(cell, 1, kFull);
      cell.RunFor(kUntilKnown + 60ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, cell.mStarts.size());
      cell.RunFor(300ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
      CPPUNIT_ASSERT(cell.StateOf("gang") == JobState::Completed);
      ExpectNoViolation(cell);
    });
    aSection.It("runs more beside what it has", [] {
      // Guards against growth that shows only when a run ends.
      FakeCell cell({ .mWorkers = 1, .mCapacity = kQuarter });
      cell.RunFor(200ms);
      cell.Submit("job", Tasks(4, 2000, 5000ms), MakeQueue());
      cell.RunFor(300ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, RunsOn(cell, 0));
      SetAll(cell, 1, kFull);
      cell.RunFor(kUntilKnown + 60ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, RunsOn(cell, 0));
      ExpectNoViolation(cell);
    });
  });
}

void
DescribeTakeover(Section& aRoot)
{
  aRoot.Describe(
    "a new owner of a worker that has shrunk", [](Section& aSection) {
      aSection.It("counts the runs that it finds there", [] {
        // Guards against starts beside adopted runs that exceed the capacity.
        FakeCell cell({ .mWorkers = 2 });
        cell.RunFor(200ms);
        cell.Submit("first", Tasks(8, 2000, 3000ms), MakeQueue());
        cell.RunFor(300ms);
        SetAll(cell, 2, kQuarter);
        cell.RunFor(kUntilKnown);
        cell.TakeOver(1000ms);
        cell.Submit("gang", Gang(2, 1000, 300ms), MakeQueue());
        cell.Submit("single", Tasks(4, 1000, 300ms), MakeQueue());
        cell.RunFor(1500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, RunsOn(cell, 0));
        cell.RunUntilFinal("gang", 9000ms);
        cell.RunUntilFinal("single", 9000ms);
        for (const auto& [task, starts] : cell.mStarts) {
          CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, starts.size());
        }
        ExpectNoViolation(cell);
      });
      aSection.It("learns of a shrink that the last owner did not see", [] {
        // Guards against a capacity that is kept from before the takeover.
        FakeCell cell({ .mWorkers = 2 });
        cell.RunFor(200ms);
        cell.Submit("first", Tasks(6, 2000, 2000ms), MakeQueue());
        cell.RunFor(300ms);
        SetAll(cell, 2, kNone);
        cell.RunFor(200ms);
        cell.TakeOver(500ms);
        cell.RunFor(200ms);
        cell.Submit("second", Tasks(4, 1000, 300ms), MakeQueue());
        cell.RunFor(3000ms);
        CPPUNIT_ASSERT(cell.StateOf("second") == JobState::Queued);
        SetAll(cell, 2, kFull);
        cell.RunUntilFinal("second", 1000ms);
        ExpectNoViolation(cell);
      });
    });
}

void
DescribePresumedUsage(Section& aRoot)
{
  aRoot.Describe("a new owner's presumed usage", [](Section& aSection) {
    aSection.It("exceeds the capacity of a silent worker that has shrunk", [] {
      // Guards against a quota that is used twice after a takeover.
      FakeCell cell;
      cell.Configure(
        { { .mName = kTeam, .mQuota = { .mMilliCores = 16000 } } });
      cell.RunFor(200ms);
      cell.Submit("old", Tasks(8, 2000, 3000ms), MakeQueue(), kTeam);
      cell.RunFor(300ms);
      for (std::size_t worker = 0; worker < 6; ++worker) {
        if (RunsOn(cell, worker) > 0) {
          cell.SetWorkerCapacity(worker, kQuarter);
          cell.SetWorkerUnreachable(worker, true);
        }
      }
      cell.RunFor(kUntilKnown);
      cell.TakeOver();
      cell.Submit("new", Tasks(8, 2000, 500ms), MakeQueue(), kTeam);
      for (int step = 0; step < 1000; ++step) {
        cell.RunFor(2ms);
        CPPUNIT_ASSERT(cell.UsageOf(kTeam).mMilliCores <= 16000);
      }
      cell.RunUntilFinal("new", 20000ms);
      ExpectNoViolation(cell);
    });
    aSection.It("is bounded by records of earlier releases once complete", [] {
      // Guards against workers whose runs have no known bound for ever.
      const SchedulerOptions options;
      RecordWriteQueue queue;
      Ownership ownership;
      Fleet fleet(options, ownership, queue);
      const WorkerEntry entry{ .mId = WorkerId("w0"), .mCapacity = kQuarter };
      fleet.Recover({ { .mId = entry.mId } }, {});
      fleet.Register(entry, {});
      Worker& worker = *fleet.Find(entry.mId);
      worker.mUsed = { .mMilliCores = 6000 };
      fleet.Prune({}, [](Worker&) {});
      CPPUNIT_ASSERT(!fleet.RecordOf(entry.mId)->mMaxCapacity.has_value());
      worker.mReconciled = true;
      fleet.Prune({}, [](Worker&) {});
      CPPUNIT_ASSERT(!fleet.RecordOf(entry.mId)->mMaxCapacity.has_value());
      ownership.Prove(worker.mLease.FormerRunsEndBy(), {});
      fleet.Prune({}, [](Worker&) {});
      const Resources bound{ .mMilliCores = 6000, .mMemoryMiB = 8000 };
      CPPUNIT_ASSERT(fleet.RecordOf(entry.mId)->mMaxCapacity == bound);
      CPPUNIT_ASSERT(queue.HasWaiting());
    });
  });
}

void
DescribeRestart(Section& aRoot)
{
  aRoot.Describe("a worker that restarts under its id", [](Section& aSection) {
    aSection.It("is held to its new, smaller capacity", [] {
      // Guards against a capacity that is kept from the earlier incarnation.
      FakeCell cell({ .mWorkers = 2 });
      cell.RunFor(200ms);
      cell.Submit("first", Tasks(8, 2000, 1500ms), MakeQueue());
      cell.RunFor(300ms);
      cell.CrashWorker(1);
      cell.SetWorkerCapacity(1, kQuarter);
      cell.RunFor(200ms);
      cell.RestartWorker(1);
      cell.RunFor(kUntilKnown);
      cell.Submit("second", Tasks(8, 1000, 500ms), MakeQueue());
      cell.RunUntilFinal("first", 9000ms);
      cell.RunUntilFinal("second", 9000ms);
      ExpectNoViolation(cell);
    });
    aSection.It("gets what waits when its new capacity is larger", [] {
      // Guards against a larger incarnation that counts as the smaller one.
      FakeCell cell({ .mWorkers = 1, .mCapacity = kQuarter });
      cell.RunFor(200ms);
      cell.Submit("job", Tasks(1, 8000, 200ms), MakeQueue());
      cell.RunFor(500ms);
      cell.CrashWorker(0);
      cell.SetWorkerCapacity(0, kFull);
      cell.RunFor(100ms);
      cell.RestartWorker(0);
      cell.RunFor(kUntilKnown + 400ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
      ExpectNoViolation(cell);
    });
    aSection.It("is followed when its entry names no incarnation", [] {
      // Guards against entries that are ignored as those of an earlier process.
      FakeCell cell(
        { .mWorkers = 1, .mEditEntry = [](int, WorkerEntry& aEntry) {
           aEntry.mIncarnation = {};
         } });
      cell.RunFor(200ms);
      WorkerEntry entry = cell.WorkerAt(0).Entry();
      entry.mCapacity = kNone;
      cell.Scheduler().RegisterWorker(entry, cell.NowMoment());
      cell.Submit("job", Tasks(1, 1000, 100ms), MakeQueue());
      cell.RunFor(500ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Queued);
      entry.mCapacity = kFull;
      cell.Scheduler().RegisterWorker(entry, cell.NowMoment());
      cell.RunUntilFinal("job", 500ms);
    });
  });
}

std::size_t
IndexOf(const WorkerId& aWorker)
{
  return std::stoul(aWorker.mValue.substr(1));
}

QueuePolicy
MakeAdvisedQueue()
{
  QueuePolicy queue = MakeQueue();
  queue.mAdvice = AdvicePolicy{ .mDecisionTime = 10ms,
                                .mTimePerWorker = 1ms,
                                .mValidity = 1000ms };
  return queue;
}

void
DescribeAdvice(Section& aRoot)
{
  aRoot.Describe("advice for a gang", [](Section& aSection) {
    aSection.It("covers it though the first worker is larger", [] {
      // Guards against a target that takes one worker's capacity for all.
      FakeCell cell(
        { .mWorkers = kManyWorkers, .mMaxBatchRecords = kManyWorkers });
      cell.mIsAllowed = [](const StepKey&, const WorkerId& aWorker) {
        return IndexOf(aWorker) % 4 == 1;
      };
      cell.RunFor(200ms);
      SetAll(cell, kManyWorkers, kQuarter);
      cell.SetWorkerCapacity(0, { .mMilliCores = 64000, .mMemoryMiB = 64000 });
      cell.RunFor(kUntilKnown);
      cell.Submit("gang", Gang(40, 2000, 200ms), MakeAdvisedQueue());
      cell.RunUntilFinal("gang", 6000ms);
      ExpectNoViolation(cell);
    });
    aSection.It("names the workers that can hold a member", [] {
      // Guards against approvals of workers of capacity zero that count.
      FakeCell cell(
        { .mWorkers = kManyWorkers, .mMaxBatchRecords = kManyWorkers });
      cell.RunFor(200ms);
      SetAll(cell, kManyWorkers - 2, kNone);
      cell.RunFor(kUntilKnown);
      cell.Submit("gang", Gang(2, 8000, 200ms), MakeAdvisedQueue());
      cell.RunUntilFinal("gang", 6000ms);
      ExpectNoViolation(cell);
    });
    aSection.It("is extended when the approved workers shrink", [] {
      // Guards against a gang that waits for ever for workers of no use.
      FakeCell cell(
        { .mWorkers = kManyWorkers, .mMaxBatchRecords = kManyWorkers });
      std::set<WorkerId> approved;
      cell.mIsAllowed = [&approved](const StepKey& aStep,
                                    const WorkerId& aWorker) {
        if (aStep.mJob.mValue == "gang") {
          approved.insert(aWorker);
        }
        return true;
      };
      cell.RunFor(200ms);
      cell.Submit("fill", Tasks(kManyWorkers, 8000, 1500ms), MakeQueue());
      cell.RunFor(100ms);
      cell.Submit("gang", Gang(2, 8000, 200ms), MakeAdvisedQueue());
      cell.RunFor(400ms);
      CPPUNIT_ASSERT(approved.size() < kManyWorkers / 2);
      for (const WorkerId& worker : approved) {
        cell.SetWorkerCapacity(IndexOf(worker), kNone);
      }
      cell.RunUntilFinal("gang", 8000ms);
      ExpectNoViolation(cell);
    });
  });
}

void
DescribeSums(Section& aRoot)
{
  aRoot.Describe("free capacity", [](Section& aSection) {
    aSection.It("is not lowered by what a worker exceeds its own", [] {
      // Guards against jobs refused although idle workers have room for them.
      FakeCell cell({ .mWorkers = 2 });
      cell.Configure({ { .mName = kTeam, .mWeight = 1 },
                       { .mName = kOtherTeam, .mWeight = 1 } });
      cell.RunFor(200ms);
      cell.Submit("large", Tasks(1, 8000, 9000ms), MakeQueue(), kTeam);
      cell.RunFor(100ms);
      const std::size_t busy = RunsOn(cell, 0) > 0 ? 0 : 1;
      cell.SetWorkerCapacity(busy, kNone);
      cell.RunFor(kUntilKnown);
      QueuePolicy tolerant = MakeQueue();
      tolerant.mLatencyTarget = 9000ms;
      StepSpec waiting = MakeStep(1, 100, 200ms);
      waiting.mRequiredLabel = "missing";
      cell.Submit("waits", SingleStepJob(waiting), tolerant, kOtherTeam);
      // Uses up what the team may submit at once.
      for (int job = 0; job < 40; ++job) {
        cell.Submit("short" + std::to_string(job),
                    Tasks(1, 100, 1ms),
                    MakeQueue(),
                    kTeam);
      }
      cell.RunFor(400ms);
      const auto isRefused = [&cell](std::int64_t aMilliCores) {
        return cell.Scheduler()
          .RefusalFor({ .mId = JobId("late"),
                        .mQueue = MakeQueue(),
                        .mSpec = Tasks(1, aMilliCores, 100ms),
                        .mTeam = kTeam },
                      cell.NowMoment())
          .has_value();
      };
      CPPUNIT_ASSERT(isRefused(9000));
      CPPUNIT_ASSERT(!isRefused(4000));
    });
    aSection.It("is reserved from when enough runs have ended", [] {
      // Guards against reservations on room that a shrunk worker never frees.
      Worker worker;
      worker.mEntry.mCapacity = kQuarter;
      ReservationCandidate candidate{ .mWorker = &worker, .mMaxTasks = 4 };
      const Resources task{ .mMilliCores = 2000, .mMemoryMiB = 100 };
      for (int run = 1; run <= 4; ++run) {
        worker.mUsed += task;
        candidate.mEnds.Add(TimePoint(run * 1s), task);
      }
      const auto plan = PlanReservation({ candidate }, task, 1, {});
      CPPUNIT_ASSERT(plan.has_value() && plan->mStart == TimePoint(4s));
      CPPUNIT_ASSERT(!PlanReservation({ candidate }, task, 2, {}).has_value());
      ReservationTable table;
      table.Add(*plan, task, { candidate });
      CPPUNIT_ASSERT(!table.Allows(&worker, task, TimePoint(5s)));
    });
    aSection.It("limits single tasks to a share of it, not of the workers", [] {
      // Guards against tasks that may only use workers of no capacity while a
      // gang waits.
      FakeCell cell({ .mWorkers = 6 });
      cell.RunFor(200ms);
      for (std::size_t worker = 0; worker < 3; ++worker) {
        cell.SetWorkerCapacity(worker, kNone);
      }
      cell.RunFor(kUntilKnown);
      QueuePolicy tolerant = MakeQueue();
      tolerant.mLatencyTarget = 60000ms;
      cell.Submit("gang", Gang(5, 8000, 200ms), tolerant);
      cell.RunFor(700ms);
      cell.Submit("single", Tasks(1, 1000, 100ms), tolerant);
      cell.RunUntilFinal("single", 1000ms);
      ExpectNoViolation(cell);
    });
  });
}

} // namespace

void
CapacityTests(Section& aRoot)
{
  DescribeShrink(aRoot);
  DescribeGrowth(aRoot);
  DescribeTakeover(aRoot);
  DescribePresumedUsage(aRoot);
  DescribeRestart(aRoot);
  DescribeAdvice(aRoot);
  DescribeSums(aRoot);
}

} // namespace oriolevane
