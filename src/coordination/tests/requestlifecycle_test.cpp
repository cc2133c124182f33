#include <set>

#include "coordination/tests/fixture.h"
#include "coordination/tests/testgroups.h"

namespace oriolevane::coordination {

using oriolevane::testing::Section;
using protocol::Outcome;
using protocol::RefusalReason;
using protocol::TaskEndReason;
using protocol::TaskState;
using namespace testing;

namespace {

void
WaitingCallerTests(Section& aSection)
{
  aSection.It("gets the whole answer once it is recorded, and only then is the "
              "update acknowledged to the placer",
              [] {
                Fixture fixture;
                fixture.StartServing();
                const std::uint64_t call = fixture.Submit(MakeSpec("a"));
                fixture.mAutoCommit = false;
                fixture.ReportAll(TaskState::Succeeded, "whole answer");
                CPPUNIT_ASSERT(!fixture.Reply(call));
                CPPUNIT_ASSERT(fixture.Sent<protocol::UpdateAck>().empty());
                fixture.Commit();
                CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(call)->mOutcome);
                CPPUNIT_ASSERT(fixture.Reply(call)->mTasks.front().mAnswer ==
                               "whole answer");
                CPPUNIT_ASSERT_EQUAL(
                  std::size_t{ 1 }, fixture.Sent<protocol::UpdateAck>().size());
              });
  aSection.It("gets one reply when the end of a task is reported twice", [] {
    Fixture fixture;
    fixture.StartServing();
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    fixture.ReportAll(TaskState::Succeeded, "x");
    fixture.ReportAll(TaskState::Failed, "y");
    CPPUNIT_ASSERT(fixture.Reply(call)->mTasks.front().mAnswer == "x");
  });
  aSection.It(
    "gets no reply after it abandons the call, but can query the outcome later",
    [] {
      Fixture fixture;
      fixture.StartServing();
      const std::uint64_t call = fixture.Submit(MakeSpec("a"));
      fixture.Handle(CallAbandoned{
        { .mNode = NodeId("entry-1"), .mIncarnation = Incarnation(1) }, call });
      fixture.ReportAll(TaskState::Succeeded, "x");
      CPPUNIT_ASSERT(!fixture.Reply(call));
      CPPUNIT_ASSERT(Outcome::Ran ==
                     fixture.Reply(fixture.QueryStatus("a"))->mOutcome);
    });
  aSection.It(
    "is told not-known-yet at the deadline of a running request, and gets the "
    "outcome by a later query",
    [] {
      Fixture fixture;
      fixture.StartServing();
      protocol::RequestSpec spec = MakeSpec("a");
      spec.mDeadline = 2'000ms;
      const std::uint64_t call = fixture.Submit(spec);
      fixture.ReportAll(TaskState::Running);
      fixture.AdvanceTime(2'100ms);
      CPPUNIT_ASSERT(Outcome::NotKnownYet == fixture.Reply(call)->mOutcome);
      CPPUNIT_ASSERT(fixture.Reply(call)->mRetryAfter.has_value());
      CPPUNIT_ASSERT(!fixture.Sent<protocol::CancelTasks>().empty());
      fixture.ReportAll(TaskState::Failed, "stopped");
      CPPUNIT_ASSERT(Outcome::Ran ==
                     fixture.Reply(fixture.QueryStatus("a"))->mOutcome);
      CPPUNIT_ASSERT(fixture.mSamples.back().mDeadlineMet == false);
    });
  aSection.It("is told not-run at its deadline when nothing was sent", [] {
    Fixture fixture;
    fixture.StartServing();
    for (std::uint32_t shard = 0; shard < 2; ++shard) {
      protocol::ShardDigest digest = MakeDigest(shard, 1, 2);
      digest.mReady = false;
      fixture.Handle(DigestReceived{ digest });
    }
    protocol::RequestSpec spec = MakeSpec("a");
    spec.mDeadline = 2'000ms;
    const std::uint64_t call = fixture.Submit(spec);
    fixture.AdvanceTime(2'100ms);
    CPPUNIT_ASSERT(Outcome::NotRun == fixture.Reply(call)->mOutcome);
    CPPUNIT_ASSERT(RefusalReason::DeadlinePassed ==
                   fixture.Reply(call)->mReason);
    CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
  });
}

void
SameKeyTests(Section& aSection)
{
  aSection.It("joins the first request and gets its outcome", [] {
    Fixture fixture;
    fixture.StartServing();
    const std::uint64_t first = fixture.Submit(MakeSpec("a"));
    const std::uint64_t second = fixture.Submit(MakeSpec("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         fixture.Sent<protocol::PlaceTasks>().size());
    fixture.ReportAll(TaskState::Succeeded, "x");
    CPPUNIT_ASSERT(*fixture.Reply(first) == *fixture.Reply(second));
    const std::uint64_t late = fixture.Submit(MakeSpec("a"));
    CPPUNIT_ASSERT(*fixture.Reply(first) == *fixture.Reply(late));
  });
  aSection.It("is refused with another body, before and after the outcome", [] {
    Fixture fixture;
    fixture.StartServing();
    const std::uint64_t first = fixture.Submit(MakeSpec("a"));
    protocol::RequestSpec other = MakeSpec("a");
    other.mPayload = "other";
    CPPUNIT_ASSERT(RefusalReason::KeyReused ==
                   fixture.Reply(fixture.Submit(other))->mReason);
    fixture.ReportAll(TaskState::Succeeded, "x");
    CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(first)->mOutcome);
    CPPUNIT_ASSERT(RefusalReason::KeyReused ==
                   fixture.Reply(fixture.Submit(other))->mReason);
  });
  aSection.It(
    "is a new request once the retention of the outcome has ended", [] {
      Fixture fixture(2, { .mOutcomeRetention = 5'000ms });
      fixture.StartServing();
      fixture.Submit(MakeSpec("a"));
      fixture.ReportAll(TaskState::Succeeded, "x");
      fixture.AdvanceTime(8'000ms);
      CPPUNIT_ASSERT(Outcome::NotFound ==
                     fixture.Reply(fixture.QueryStatus("a"))->mOutcome);
      const std::uint64_t digest = fixture.mCoordinator->StateDigest();
      fixture.Recover();
      CPPUNIT_ASSERT_EQUAL(digest, fixture.mCoordinator->StateDigest());
    });
}

void
CancellationTests(Section& aSection)
{
  aSection.It("ends a queued request as not run once its placer confirms", [] {
    Fixture fixture;
    fixture.StartServing();
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    const std::uint64_t cancel = fixture.Cancel("a");
    CPPUNIT_ASSERT(Outcome::NotKnownYet == fixture.Reply(cancel)->mOutcome);
    CPPUNIT_ASSERT(!fixture.Reply(call));
    fixture.ReportAll(TaskState::NotStarted);
    CPPUNIT_ASSERT(Outcome::NotRun == fixture.Reply(call)->mOutcome);
    CPPUNIT_ASSERT(RefusalReason::Cancelled == fixture.Reply(call)->mReason);
  });
  aSection.It("is repeated until the placer answers", [] {
    Fixture fixture;
    fixture.StartServing();
    fixture.Submit(MakeSpec("a"));
    fixture.ReportAll(TaskState::Running);
    fixture.Cancel("a");
    fixture.AdvanceTime(2'000ms);
    CPPUNIT_ASSERT(fixture.Sent<protocol::CancelTasks>().size() >= 4);
  });
  aSection.It("of 50,000 requests sends one message each and ends all", [] {
    constexpr std::size_t kRequestCount = 50'000;
    Fixture fixture(2, { .mLimitAdmission = false });
    fixture.StartServing();
    for (std::size_t number = 0; number < kRequestCount; ++number) {
      fixture.Submit(MakeSpec(std::to_string(number)));
    }
    for (std::size_t number = 0; number < kRequestCount; ++number) {
      fixture.Cancel(std::to_string(number));
    }
    CPPUNIT_ASSERT_EQUAL(kRequestCount,
                         fixture.Sent<protocol::CancelTasks>().size());
    fixture.ReportAll(TaskState::NotStarted);
    CPPUNIT_ASSERT(fixture.mCoordinator->IsIdle());
  });
}

void
ServiceTests(Section& aSection)
{
  aSection.It("is reported as pending once it runs, restarts when it ends, and "
              "stops when cancelled",
              [] {
                Fixture fixture;
                fixture.StartServing();
                protocol::RequestSpec spec = MakeSpec("s");
                spec.mService = true;
                const std::uint64_t call = fixture.Submit(spec);
                fixture.ReportAll(TaskState::Running);
                CPPUNIT_ASSERT(Outcome::Pending ==
                               fixture.Reply(call)->mOutcome);
                fixture.ReportAll(TaskState::Succeeded);
                fixture.AdvanceTime(11'000ms);
                const auto placed = fixture.Sent<protocol::PlaceTasks>();
                CPPUNIT_ASSERT(placed.back().mAttempt > placed[0].mAttempt);
                fixture.Cancel("s");
                fixture.ReportAll(TaskState::Failed);
                CPPUNIT_ASSERT(fixture.mCoordinator->IsIdle());
                CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                                     fixture.mCoordinator->LiveRequests());
              });
}

} // namespace

void
RequestLifecycleTests(Section& aRoot)
{
  aRoot.Describe("a caller that waits", WaitingCallerTests);
  aRoot.Describe("a second submission under one key", SameKeyTests);
  aRoot.Describe("a cancellation", CancellationTests);
  aRoot.Describe("a service", ServiceTests);
  aRoot.It("keeps a trail of limited length", [] {
    Fixture fixture;
    fixture.StartServing();
    protocol::RequestSpec spec = MakeSpec("s");
    spec.mService = true;
    fixture.Submit(spec);
    for (int restart = 0; restart < 40; ++restart) {
      fixture.ReportAll(TaskState::Failed);
      fixture.AdvanceTime(11'000ms);
    }
    const auto trail = fixture.Reply(fixture.QueryStatus("s", true))->mTrail;
    CPPUNIT_ASSERT(trail.front().mEvent == "accepted");
    CPPUNIT_ASSERT(trail.size() > 10 && trail.size() < 32);
  });
  aRoot.It(
    "spreads the tasks of a request over all shards before it uses one twice",
    [] {
      Fixture fixture(4);
      fixture.mPolicy->mWorkloads[WorkloadId("matches")].mSpread =
        policy::Spread::Zone;
      fixture.StartServing();
      auto spec = MakeSpec("s");
      spec.mTaskCount = 5;
      fixture.Submit(spec);
      std::set<ShardId> shards;
      for (const auto& placed : fixture.Sent<protocol::PlaceTasks>()) {
        shards.insert(placed.mRoute.mShard);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, shards.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, fixture.PlacedAttempts());
    });
  aRoot.It("refuses new requests while draining, and finishes the others", [] {
    Fixture fixture;
    fixture.StartServing();
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    fixture.Handle(DrainBegan{});
    CPPUNIT_ASSERT(RefusalReason::Stopping ==
                   fixture.Reply(fixture.Submit(MakeSpec("b")))->mReason);
    CPPUNIT_ASSERT(!fixture.mCoordinator->IsIdle());
    fixture.ReportAll(TaskState::Succeeded, "x");
    CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(call)->mOutcome);
    CPPUNIT_ASSERT(fixture.mCoordinator->IsIdle());
  });
}

} // namespace oriolevane::coordination
