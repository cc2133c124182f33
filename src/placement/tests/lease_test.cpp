#include "placement/tests/harness.h"
#include "placement/tests/testgroups.h"

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Section;

namespace {

protocol::TaskKey
MakeFirstAttemptKey(const std::string& aRequest)
{
  return { .mRequest = RequestId{ aRequest }, .mAttempt = 1 };
}

void
TestSilentWorker(Section& aSection)
{
  aSection.It("has its tasks reported as unknown, then as lost, and its "
              "capacity stays granted until then",
              [] {
                Harness harness(1);
                harness.HandleEvent(MakePlaceTasks("a", 8));
                harness.mUnreachable[0] = true;
                harness.AdvanceTime(seconds{ 9 });
                CPPUNIT_ASSERT(harness.State("a") == TaskState::Unknown);
                CPPUNIT_ASSERT(harness.mPlacer->CheckInvariants());
                harness.AdvanceTime(seconds{ 6 });
                CPPUNIT_ASSERT(harness.State("a") == TaskState::Lost);
                CPPUNIT_ASSERT(harness.Reason("a") ==
                               TaskEndReason::WorkerLost);
              });
  aSection.It(
    "that reports again before its lease expires keeps its tasks running", [] {
      Harness harness(1);
      harness.HandleEvent(MakePlaceTasks("a"));
      harness.mUnreachable[0] = true;
      harness.AdvanceTime(seconds{ 8 });
      harness.mUnreachable[0] = false;
      harness.AdvanceTime(seconds{ 3 });
      CPPUNIT_ASSERT(harness.State("a") == TaskState::Running);
      CPPUNIT_ASSERT_EQUAL(1, harness.StartCount("a"));
    });
  aSection.It("gets no new tasks", [] {
    Harness harness(2);
    harness.mUnreachable[0] = true;
    harness.HandleEvent(WorkerUnreachable{ WorkerId{ "w-0" } });
    harness.HandleEvent(MakePlaceTasks("a", 8));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, harness.Worker(1).Running().size());
  });
}

void
TestWorkerChanges(Section& aSection)
{
  aSection.It("that restarts loses its tasks", [] {
    Harness harness(1);
    harness.HandleEvent(MakePlaceTasks("a"));
    harness.Worker(0).Restart();
    harness.AdvanceTime(seconds{ 5 });
    CPPUNIT_ASSERT(harness.State("a") == TaskState::Lost);
  });
  aSection.It(
    "that reports it is leaving gets no new tasks but keeps the running ones",
    [] {
      Harness harness(1);
      harness.HandleEvent(MakePlaceTasks("a"));
      harness.Worker(0).AnnounceLeaving();
      harness.HandleEvent(harness.Worker(0).Report());
      harness.HandleEvent(MakePlaceTasks("b"));
      CPPUNIT_ASSERT(harness.State("a") == TaskState::Running);
      CPPUNIT_ASSERT_EQUAL(0, harness.StartCount("b"));
    });
  aSection.It("that an operator drains gets no new tasks", [] {
    Harness harness(1);
    policy::CellPolicy policy;
    policy.mDrainedWorkers.insert(WorkerId{ "w-0" });
    harness.SetPolicy(policy);
    harness.HandleEvent(MakePlaceTasks("a"));
    CPPUNIT_ASSERT_EQUAL(0, harness.StartCount("a"));
  });
  aSection.It("that is no longer listed keeps its tasks until they end", [] {
    Harness harness(1);
    harness.mTaskRunTime = seconds{ 4 };
    harness.HandleEvent(MakePlaceTasks("a"));
    harness.HandleEvent(WorkersListed{});
    harness.HandleEvent(MakePlaceTasks("b"));
    CPPUNIT_ASSERT_EQUAL(0, harness.StartCount("b"));
    harness.AdvanceTime(seconds{ 5 });
    CPPUNIT_ASSERT(harness.State("a") == TaskState::Succeeded);
  });
}

void
TestFinalUpdates(Section& aSection)
{
  aSection.It(
    "are repeated until acknowledged, then the worker drops the result", [] {
      Harness harness(1);
      harness.mTaskRunTime = seconds{ 1 };
      harness.HandleEvent(MakePlaceTasks("a"));
      harness.AdvanceTime(seconds{ 2 });
      harness.mUpdates.clear();
      harness.AdvanceTime(seconds{ 3 });
      CPPUNIT_ASSERT(harness.mUpdates.size() >= 2);
      CPPUNIT_ASSERT_EQUAL(std::string{ "answer of a" },
                           harness.LatestUpdate("a")->mAnswer);
      harness.Acknowledge(MakeFirstAttemptKey("a"));
      CPPUNIT_ASSERT(harness.Worker(0).Report().mEnded.empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, harness.mPlacer->AttemptCount());
    });
  aSection.It("stay in force when a copy of the request arrives late", [] {
    Harness harness(1);
    harness.mTaskRunTime = seconds{ 1 };
    harness.HandleEvent(MakePlaceTasks("a"));
    harness.AdvanceTime(seconds{ 2 });
    harness.Acknowledge(MakeFirstAttemptKey("a"));
    harness.HandleEvent(MakePlaceTasks("a"));
    CPPUNIT_ASSERT_EQUAL(1, harness.StartCount("a"));
  });
}

void
TestTakeover(Section& aSection)
{
  const auto takeOver = [](Harness& aHarness, std::size_t aWorkers) {
    PlacerOptions options = MakePlacerOptions();
    options.mEpoch = Epoch{ 2 };
    aHarness.mPlacer = std::make_unique<Placer>(options);
    WorkersListed list;
    for (std::size_t number = 0; number < aWorkers; ++number) {
      list.mWorkers.push_back(aHarness.Worker(number).Info());
    }
    aHarness.HandleEvent(list);
  };
  aSection.It(
    "adopts and reports the tasks on the workers and renews their leases",
    [takeOver] {
      Harness harness(2);
      harness.HandleEvent(MakePlaceTasks("a", 3));
      harness.mUpdates.clear();
      takeOver(harness, 2);
      CPPUNIT_ASSERT(harness.State("a", 2) == TaskState::Running);
      harness.AdvanceTime(seconds{ 30 });
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, harness.RunningCount());
      CPPUNIT_ASSERT_EQUAL(3, harness.StartCount("a"));
    });
  aSection.It(
    "gives a complete answer to a reconcile query only once all workers "
    "are fenced or their leases have expired",
    [takeOver] {
      Harness harness(2);
      harness.mUnreachable[1] = true;
      takeOver(harness, 2);
      harness.HandleEvent(
        protocol::ReconcileQuery{ .mRoute = MakePlaceTasks("").mRoute });
      CPPUNIT_ASSERT(!harness.mReconcileAnswers.back().mComplete);
      harness.AdvanceTime(seconds{ 16 });
      CPPUNIT_ASSERT(harness.mReconcileAnswers.back().mComplete);
    });
  aSection.It(
    "never starts an attempt that the previous owner may have started",
    [takeOver] {
      Harness harness(2);
      harness.mUnreachable[1] = true;
      takeOver(harness, 2);
      harness.HandleEvent(MakePlaceTasks("a"));
      harness.AdvanceTime(seconds{ 16 });
      CPPUNIT_ASSERT_EQUAL(0, harness.StartCount("a"));
      CPPUNIT_ASSERT(harness.State("a") == TaskState::Lost);
    });
  aSection.It("stops a task that was cancelled before its worker reported it",
              [takeOver] {
                Harness harness(1);
                harness.HandleEvent(MakePlaceTasks("a"));
                harness.mUnreachable[0] = true;
                takeOver(harness, 1);
                harness.HandleEvent(protocol::CancelTasks{
                  .mRoute = MakePlaceTasks("").mRoute,
                  .mShardEpoch = Epoch{ 1 },
                  .mTasks = { MakeFirstAttemptKey("a") } });
                harness.mUnreachable[0] = false;
                harness.AdvanceTime(seconds{ 5 });
                CPPUNIT_ASSERT(harness.State("a") == TaskState::Lost);
                CPPUNIT_ASSERT(harness.Reason("a") == TaskEndReason::Cancelled);
                CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, harness.RunningCount());
              });
}

} // namespace

void
LeaseTests(Section& aRoot)
{
  aRoot.Describe("a silent worker", TestSilentWorker);
  aRoot.Describe("a worker", TestWorkerChanges);
  aRoot.Describe("final updates", TestFinalUpdates);
  aRoot.Describe("a takeover", TestTakeover);
}

} // namespace oriolevane::placement
