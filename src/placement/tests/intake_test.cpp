#include "placement/tests/harness.h"
#include "placement/tests/testgroups.h"

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Section;

namespace {

protocol::CancelTasks
MakeCancelTasks(const std::string& aRequest)
{
  return { .mRoute = MakePlaceTasks("").mRoute,
           .mShardEpoch = Epoch{ 1 },
           .mTasks = { { .mRequest = RequestId{ aRequest }, .mAttempt = 1 } } };
}

void
ExpectNotStarted(const Harness& aHarness,
                 const std::string& aRequest,
                 TaskEndReason aReason)
{
  CPPUNIT_ASSERT(aHarness.State(aRequest) == TaskState::NotStarted);
  CPPUNIT_ASSERT(aHarness.Reason(aRequest) == aReason);
  CPPUNIT_ASSERT_EQUAL(0, aHarness.StartCount(aRequest));
}

void
TestRefusals(Section& aSection)
{
  aSection.It("name the resource that no worker has enough of", [] {
    Harness harness(2);
    protocol::PlaceTasks placeTasks = MakePlaceTasks("a");
    placeTasks.mPerTask.mAccelerators = 3;
    harness.HandleEvent(placeTasks);
    ExpectNotStarted(harness, "a", TaskEndReason::NeverRunnable);
    CPPUNIT_ASSERT(harness.LatestUpdate("a")->mAnswer.find("3 accelerators") !=
                   std::string::npos);
  });
  aSection.It("are sent for a gang that the shard could never hold", [] {
    Harness harness(1);
    protocol::PlaceTasks placeTasks = MakePlaceTasks("a", 9);
    placeTasks.mTogether = true;
    harness.HandleEvent(placeTasks);
    ExpectNotStarted(harness, "a", TaskEndReason::NeverRunnable);
  });
  aSection.It(
    "are sent for waiting tasks when the only worker that fits is removed", [] {
      Harness harness(1);
      harness.HandleEvent(MakePlaceTasks("filler", 8));
      harness.HandleEvent(MakePlaceTasks("a"));
      harness.HandleEvent(WorkersListed{ { MakeWorkerInfo(
        1, { .mMilliCores = 500, .mMemoryMiB = 64, .mSlots = 1 }) } });
      ExpectNotStarted(harness, "a", TaskEndReason::NeverRunnable);
    });
  aSection.It("are sent when the deadline passes in the queue", [] {
    Harness harness(1);
    harness.HandleEvent(MakePlaceTasks("filler", 8));
    protocol::PlaceTasks placeTasks = MakePlaceTasks("a");
    placeTasks.mTimeToDeadline = seconds{ 2 };
    harness.HandleEvent(placeTasks);
    CPPUNIT_ASSERT(harness.LatestUpdate("a") == nullptr);
    harness.AdvanceTime(seconds{ 3 });
    ExpectNotStarted(harness, "a", TaskEndReason::DeadlinePassed);
  });
  aSection.It("contain a retry time when the queue is full", [] {
    PlacerOptions options = MakePlacerOptions();
    options.mQueueLimit = 2;
    Harness harness(1, options);
    harness.HandleEvent(MakePlaceTasks("filler", 2));
    harness.HandleEvent(MakePlaceTasks("more", 2));
    harness.HandleEvent(MakePlaceTasks("most", 2));
    harness.HandleEvent(MakePlaceTasks("last", 2));
    harness.HandleEvent(MakePlaceTasks("queued", 2));
    harness.HandleEvent(MakePlaceTasks("a"));
    ExpectNotStarted(harness, "a", TaskEndReason::QueueFull);
    CPPUNIT_ASSERT(harness.LatestUpdate("a")->mRetryAfter.has_value());
  });
  aSection.It("are sent for a task that exceeds its team's whole quota", [] {
    Harness harness(1);
    policy::CellPolicy policy;
    policy.mTeams[TeamId{ "crews" }] = { .mTeam = TeamId{ "crews" },
                                         .mLimit = { .mMilliCores = 500 } };
    harness.SetPolicy(policy);
    harness.HandleEvent(MakePlaceTasks("a"));
    ExpectNotStarted(harness, "a", TaskEndReason::CapacityLimit);
  });
}

void
TestMessages(Section& aSection)
{
  aSection.It("that arrive twice start each task once", [] {
    Harness harness(1);
    harness.HandleEvent(MakePlaceTasks("a", 2));
    harness.HandleEvent(MakePlaceTasks("a", 2));
    CPPUNIT_ASSERT_EQUAL(2, harness.StartCount("a"));
  });
  aSection.It("from a replaced coordinator are dropped", [] {
    Harness harness(1);
    protocol::PlaceTasks placeTasks = MakePlaceTasks("a");
    placeTasks.mRoute.mSenderEpoch = Epoch{ 2 };
    harness.HandleEvent(placeTasks);
    harness.HandleEvent(MakePlaceTasks("b"));
    CPPUNIT_ASSERT_EQUAL(0, harness.StartCount("b"));
  });
  aSection.It("that cancel remove waiting tasks and stop running ones", [] {
    Harness harness(1);
    harness.HandleEvent(MakePlaceTasks("runs"));
    harness.HandleEvent(MakePlaceTasks("filler", 7));
    harness.HandleEvent(MakePlaceTasks("waits"));
    harness.HandleEvent(MakeCancelTasks("waits"));
    ExpectNotStarted(harness, "waits", TaskEndReason::Cancelled);
    harness.HandleEvent(MakeCancelTasks("runs"));
    CPPUNIT_ASSERT(harness.State("runs") == TaskState::Lost);
    CPPUNIT_ASSERT(harness.Reason("runs") == TaskEndReason::Cancelled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 7 }, harness.RunningCount());
  });
  aSection.It("that cancel a request before it arrives keep it from starting",
              [] {
                Harness harness(1);
                harness.HandleEvent(MakeCancelTasks("a"));
                harness.HandleEvent(MakePlaceTasks("a"));
                ExpectNotStarted(harness, "a", TaskEndReason::Cancelled);
              });
}

void
TestDigests(Section& aSection)
{
  aSection.It("show total capacity, free capacity and waiting tasks", [] {
    Harness harness(2);
    harness.HandleEvent(MakePlaceTasks("a", 17));
    const protocol::ShardDigest digest = harness.mPlacer->Digest(harness.mNow);
    CPPUNIT_ASSERT(digest.mReady);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{ 2 }, digest.mWorkers);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 16 }, digest.mTotal.mSlots);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, digest.mFree.mSlots);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 8 }, digest.mLargestWorker.mSlots);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, digest.mLargestFree.mAccelerators);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{ 1 }, digest.mQueued[1]);
  });
}

} // namespace

void
IntakeTests(Section& aRoot)
{
  aRoot.Describe("refusals", TestRefusals);
  aRoot.Describe("messages", TestMessages);
  aRoot.Describe("digests", TestDigests);
}

} // namespace oriolevane::placement
