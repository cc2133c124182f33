#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

const TaskKey kFirstTask{ .mStep = { .mJob = JobId("job") } };

void
DescribeMissingWorker(Section& aRoot)
{
  aRoot.Describe(
    "a node that takes over while a worker is missing", [](Section& aSection) {
      // Guards against jobs that stand still until the leases on a worker that
      // has left are over.
      aSection.It("continues what is known to run", [] {
        FakeCell cell({ .mWorkers = 2 });
        cell.RunFor(200ms);
        JobSpec spec = SingleStepJob(MakeStep(2, 1000, 900ms));
        spec.mSteps.push_back(MakeStep(2, 1000, 300ms));
        spec.mSteps[1].mAfter = { 0 };
        cell.mPlan = [](const TaskKey& aTask, RunNumber aRun, const WorkerId&) {
          const bool fails = aTask.mStep.mStep == 0 && aRun == RunNumber(1);
          return RunPlan{ .mDuration = 600ms, .mFails = fails };
        };
        cell.Submit("job", spec, MakeQueue());
        cell.RunFor(300ms);
        const WorkerId used = cell.mStarts.at(kFirstTask).front();
        cell.SetWorkerUnreachable(cell.WorkerAt(0).Entry().mId == used ? 1 : 0,
                                  true);
        cell.TakeOver();
        cell.RunUntilFinal("job", 4000ms);
        CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
        CPPUNIT_ASSERT(cell.mViolations.empty());
      });
    });
}

void
DescribeTakeover(Section& aRoot)
{
  aRoot.Describe("a node that takes over a shard", [](Section& aSection) {
    aSection.It("adopts running tasks and starts none of them twice", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.Submit("job", SingleStepJob(MakeStep(8, 2000, 1500ms)), MakeQueue());
      cell.RunFor(600ms);
      cell.TakeOver(3000ms);
      cell.RunUntilFinal("job", 5000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
      CPPUNIT_ASSERT(cell.mViolations.empty());
      for (const auto& [task, starts] : cell.mStarts) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, starts.size());
      }
    });
    aSection.It("keeps the confirmed ends and collects the others", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      JobSpec spec = SingleStepJob(MakeStep(10, 1000, 100ms));
      spec.mSteps.push_back(MakeStep(10, 1000, 300ms));
      spec.mSteps[1].mAfter = { 0 };
      cell.Submit("job", spec, MakeQueue());
      for (int takeover = 0; takeover < 6; ++takeover) {
        cell.RunFor(90ms);
        cell.TakeOver();
      }
      cell.RunUntilFinal("job", 5000ms);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
    aSection.It("polls unresponsive workers again without delay", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.mDelivery = [](const WorkerId&) { return Delivery::Dropped; };
      cell.Submit("job", SingleStepJob(MakeStep(2, 1000, 100ms)), MakeQueue());
      cell.RunFor(100ms);
      cell.TakeOver();
      std::map<WorkerId, int> calls;
      cell.mDelivery = [&calls](const WorkerId& aWorker) {
        return ++calls[aWorker] > 3 ? Delivery::Normal : Delivery::Dropped;
      };
      cell.RunFor(1200ms);
      CPPUNIT_ASSERT(!cell.mStarts.empty());
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
    aSection.It("does not restart what may run on unreachable workers", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      StepSpec step = MakeStep(6, 5000, 2000ms);
      cell.Submit("job", SingleStepJob(step), MakeQueue());
      cell.RunFor(300ms);
      cell.SetWorkerUnreachable(2, true);
      cell.TakeOver();
      cell.RunFor(3000ms);
      for (const auto& [task, starts] : cell.mStarts) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, starts.size());
      }
      cell.RunUntilFinal("job", 20000ms);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
}

void
DescribeDepartedWorkers(Section& aRoot)
{
  // Guards against stored workers that have left and are in use again.
  aRoot.Describe(
    "workers that left or drain before a takeover", [](Section& aSection) {
      aSection.It("get nothing from the next owner", [] {
        FakeCell cell;
        cell.RunFor(200ms);
        cell.Submit(
          "job", SingleStepJob(MakeStep(6, 5000, 500ms)), MakeQueue());
        cell.RunUntilFinal("job", 5000ms);
        cell.CrashWorker(1);
        cell.DrainWorker(2);
        cell.RunFor(6000ms);
        cell.TakeOver();
        std::set<WorkerId> ordered;
        cell.mStartDelivery = [&ordered](const StartOrder& aOrder) {
          ordered.insert(aOrder.mWorker.mId);
          return Delivery::Normal;
        };
        cell.Submit(
          "next", SingleStepJob(MakeStep(9, 5000, 500ms)), MakeQueue());
        cell.RunUntilFinal("next", 9000ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, ordered.size());
        CPPUNIT_ASSERT(!ordered.contains(WorkerId("w1")));
        CPPUNIT_ASSERT(!ordered.contains(WorkerId("w2")));
        CPPUNIT_ASSERT(cell.mViolations.empty());
      });
    });
}

void
DescribeFailedRuns(Section& aRoot)
{
  aRoot.Describe(
    "failed runs reported by several workers", [](Section& aSection) {
      aSection.It("are counted once each, in any order of the reports", [] {
        FakeCell cell;
        cell.mPlan = [](const TaskKey&, RunNumber, const WorkerId&) {
          return RunPlan{ .mDuration = 100ms, .mFails = true };
        };
        cell.RunFor(200ms);
        // While the store is unavailable, ends of runs can be neither recorded
        // nor confirmed, so that the next owner reads all of them.
        cell.Submit(
          "job", SingleStepJob(MakeStep(1, 1000, 100ms)), MakeQueue(4));
        cell.RunFor(60ms);
        cell.SetStoreUnavailable(true);
        cell.RunFor(900ms);
        cell.TakeOver();
        cell.SetStoreUnavailable(false);
        cell.RunUntilFinal("job", 20000ms);
        CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 },
                             cell.mStarts.at(kFirstTask).size());
      });
    });
}

void
DescribeUnrecordedFinalState(Section& aRoot)
{
  aRoot.Describe(
    "a job whose last progress is recorded, but not its final state",
    [](Section& aSection) {
      aSection.It("is finished by the next owner", [] {
        CellScheduler scheduler({ .mEpoch = Epoch(2) },
                                { .mStart = [](const StartOrder&) {},
                                  .mStop = [](const StopOrder&) {},
                                  .mPoll = [](const PollOrder&) {},
                                  .mAskAdvice = [](const AdviceQuery&) {},
                                  .mOnFenced = [](const WorkerId&) {} });
        CellRecords records;
        records.mJobs.push_back(
          { .mId = JobId("job"),
            .mQueue = MakeQueue(2),
            .mSpec = SingleStepJob(MakeStep(1, 1000, 100ms)) });
        records.mProgress.push_back(
          { .mJob = JobId("job"),
            .mSteps = {
              { .mTasks = {
                  { .mFailedRuns = { RunNumber(1), RunNumber(2) } } } } } });
        const Moment now{ .mSteady = TimePoint(1000s), .mUnix = 1000s };
        scheduler.Recover(records, now);
        scheduler.Records().TakeBatch(100);
        scheduler.OnRecorded(scheduler.Records().Confirm(), now);
        CPPUNIT_ASSERT(scheduler.Find(JobId("job"))->mState ==
                       JobState::Failed);
      });
    });
}

} // namespace

void
OwnerTakeoverTests(Section& aRoot)
{
  DescribeMissingWorker(aRoot);
  DescribeTakeover(aRoot);
  DescribeDepartedWorkers(aRoot);
  DescribeFailedRuns(aRoot);
  DescribeUnrecordedFinalState(aRoot);
}

} // namespace oriolevane
