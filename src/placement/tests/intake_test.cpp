#include "placement/tests/harness.h"
#include "placement/tests/stories.h"

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Section;

namespace {

protocol::CancelTasks
CancelOf(const std::string& aRequest)
{
  return { .mRoute = TestOrder("").mRoute,
           .mShardEpoch = Epoch{ 1 },
           .mTasks = { { .mRequest = RequestId{ aRequest }, .mAttempt = 1 } } };
}

void
ExpectEnd(const Harness& aHarness,
          const std::string& aRequest,
          TaskEndReason aReason)
{
  CPPUNIT_ASSERT(aHarness.State(aRequest) == TaskState::NotStarted);
  CPPUNIT_ASSERT(aHarness.Reason(aRequest) == aReason);
  CPPUNIT_ASSERT_EQUAL(0, aHarness.Starts(aRequest));
}

void
Refusals(Section& aSection)
{
  aSection.It("name the resource that no worker has enough of", [] {
    Harness harness(2);
    protocol::PlaceTasks order = TestOrder("a");
    order.mPerTask.mAccelerators = 3;
    harness.Give(order);
    ExpectEnd(harness, "a", TaskEndReason::NeverRunnable);
    CPPUNIT_ASSERT(harness.Update("a")->mAnswer.find("3 accelerators") !=
                   std::string::npos);
  });
  aSection.It("come for a gang that the shard could never hold", [] {
    Harness harness(1);
    protocol::PlaceTasks order = TestOrder("a", 9);
    order.mTogether = true;
    harness.Give(order);
    ExpectEnd(harness, "a", TaskEndReason::NeverRunnable);
  });
  aSection.It("come for waiting tasks when the only fitting worker goes", [] {
    Harness harness(1);
    harness.Give(TestOrder("filler", 8));
    harness.Give(TestOrder("a"));
    harness.Give(WorkersListed{ { TestWorker(
      1, { .mMilliCores = 500, .mMemoryMiB = 64, .mSlots = 1 }) } });
    ExpectEnd(harness, "a", TaskEndReason::NeverRunnable);
  });
  aSection.It("come when the deadline passes in the queue", [] {
    Harness harness(1);
    harness.Give(TestOrder("filler", 8));
    protocol::PlaceTasks order = TestOrder("a");
    order.mTimeToDeadline = seconds{ 2 };
    harness.Give(order);
    CPPUNIT_ASSERT(harness.Update("a") == nullptr);
    harness.Pass(seconds{ 3 });
    ExpectEnd(harness, "a", TaskEndReason::DeadlinePassed);
  });
  aSection.It("come with a time to come back when the queue is full", [] {
    PlacerOptions options = TestOptions();
    options.mQueueLimit = 2;
    Harness harness(1, options);
    harness.Give(TestOrder("filler", 2));
    harness.Give(TestOrder("more", 2));
    harness.Give(TestOrder("most", 2));
    harness.Give(TestOrder("last", 2));
    harness.Give(TestOrder("queued", 2));
    harness.Give(TestOrder("a"));
    ExpectEnd(harness, "a", TaskEndReason::QueueFull);
    CPPUNIT_ASSERT(harness.Update("a")->mRetryAfter.has_value());
  });
  aSection.It("come for a task above its team's whole quota", [] {
    Harness harness(1);
    policy::CellPolicy policy;
    policy.mTeams[TeamId{ "crews" }] = { .mTeam = TeamId{ "crews" },
                                         .mLimit = { .mMilliCores = 500 } };
    harness.SetPolicy(policy);
    harness.Give(TestOrder("a"));
    ExpectEnd(harness, "a", TaskEndReason::CapacityLimit);
  });
}

void
Messages(Section& aSection)
{
  aSection.It("sent twice start nothing twice", [] {
    Harness harness(1);
    harness.Give(TestOrder("a", 2));
    harness.Give(TestOrder("a", 2));
    CPPUNIT_ASSERT_EQUAL(2, harness.Starts("a"));
  });
  aSection.It("of a replaced coordinator are dropped", [] {
    Harness harness(1);
    protocol::PlaceTasks order = TestOrder("a");
    order.mRoute.mSenderEpoch = Epoch{ 2 };
    harness.Give(order);
    harness.Give(TestOrder("b"));
    CPPUNIT_ASSERT_EQUAL(0, harness.Starts("b"));
  });
  aSection.It("that cancel withdraw what waits and stop what runs", [] {
    Harness harness(1);
    harness.Give(TestOrder("runs"));
    harness.Give(TestOrder("filler", 7));
    harness.Give(TestOrder("waits"));
    harness.Give(CancelOf("waits"));
    ExpectEnd(harness, "waits", TaskEndReason::Cancelled);
    harness.Give(CancelOf("runs"));
    CPPUNIT_ASSERT(harness.State("runs") == TaskState::Lost);
    CPPUNIT_ASSERT(harness.Reason("runs") == TaskEndReason::Cancelled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 7 }, harness.RunningCount());
  });
  aSection.It("that cancel before the request comes keep it from starting", [] {
    Harness harness(1);
    harness.Give(CancelOf("a"));
    harness.Give(TestOrder("a"));
    ExpectEnd(harness, "a", TaskEndReason::Cancelled);
  });
}

void
Digests(Section& aSection)
{
  aSection.It("show capacity, what is free and what waits", [] {
    Harness harness(2);
    harness.Give(TestOrder("a", 17));
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
IntakeStory(Section& aStory)
{
  aStory.Describe("refusals", Refusals);
  aStory.Describe("messages", Messages);
  aStory.Describe("digests", Digests);
}

} // namespace oriolevane::placement
