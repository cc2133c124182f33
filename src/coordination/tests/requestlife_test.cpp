#include <set>

#include "coordination/tests/fixture.h"
#include "coordination/tests/stories.h"

namespace oriolevane::coordination {

using oriolevane::testing::Section;
using protocol::Outcome;
using protocol::RefusalReason;
using protocol::TaskEndReason;
using protocol::TaskState;
using namespace testing;

namespace {

void
WaitingCallerStory(Section& aSection)
{
  aSection.It("gets the whole answer once it is recorded, and the placer may "
              "forget it only then",
              [] {
                Fixture fixture;
                fixture.Serve();
                const std::uint64_t call = fixture.Submit(MakeSpec("a"));
                fixture.mAutoCommit = false;
                fixture.EndAll(TaskState::Succeeded, "two spruces");
                CPPUNIT_ASSERT(!fixture.Reply(call));
                CPPUNIT_ASSERT(fixture.Sent<protocol::UpdateAck>().empty());
                fixture.Commit();
                CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(call)->mOutcome);
                CPPUNIT_ASSERT(fixture.Reply(call)->mTasks.front().mAnswer ==
                               "two spruces");
                CPPUNIT_ASSERT_EQUAL(
                  std::size_t{ 1 }, fixture.Sent<protocol::UpdateAck>().size());
              });
  aSection.It("is replied to once when updates are doubled", [] {
    Fixture fixture;
    fixture.Serve();
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    fixture.EndAll(TaskState::Succeeded, "x");
    fixture.EndAll(TaskState::Failed, "y");
    CPPUNIT_ASSERT(fixture.Reply(call)->mTasks.front().mAnswer == "x");
  });
  aSection.It("gets no reply when it went away, but may ask later", [] {
    Fixture fixture;
    fixture.Serve();
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    fixture.Handle(CallAbandoned{
      { .mNode = NodeId("entry-1"), .mIncarnation = Incarnation(1) }, call });
    fixture.EndAll(TaskState::Succeeded, "x");
    CPPUNIT_ASSERT(!fixture.Reply(call));
    CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(fixture.Ask("a"))->mOutcome);
  });
  aSection.It(
    "learns at its deadline that a running request is not known yet, "
    "and the truth by asking later",
    [] {
      Fixture fixture;
      fixture.Serve();
      protocol::RequestSpec spec = MakeSpec("a");
      spec.mDeadline = 2'000ms;
      const std::uint64_t call = fixture.Submit(spec);
      fixture.EndAll(TaskState::Running);
      fixture.Pass(2'100ms);
      CPPUNIT_ASSERT(Outcome::NotKnownYet == fixture.Reply(call)->mOutcome);
      CPPUNIT_ASSERT(fixture.Reply(call)->mRetryAfter.has_value());
      CPPUNIT_ASSERT(!fixture.Sent<protocol::CancelTasks>().empty());
      fixture.EndAll(TaskState::Failed, "stopped");
      CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(fixture.Ask("a"))->mOutcome);
      CPPUNIT_ASSERT(fixture.mSamples.back().mDeadlineMet == false);
    });
  aSection.It("is told not-run at its deadline when nothing was sent", [] {
    Fixture fixture;
    fixture.Serve();
    for (std::uint32_t shard = 0; shard < 2; ++shard) {
      protocol::ShardDigest digest = MakeDigest(shard, 1, 2);
      digest.mReady = false;
      fixture.Handle(DigestReceived{ digest });
    }
    protocol::RequestSpec spec = MakeSpec("a");
    spec.mDeadline = 2'000ms;
    const std::uint64_t call = fixture.Submit(spec);
    fixture.Pass(2'100ms);
    CPPUNIT_ASSERT(Outcome::NotRun == fixture.Reply(call)->mOutcome);
    CPPUNIT_ASSERT(RefusalReason::DeadlinePassed ==
                   fixture.Reply(call)->mReason);
    CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
  });
}

void
SameKeyStory(Section& aSection)
{
  aSection.It("joins the first request and gets its outcome", [] {
    Fixture fixture;
    fixture.Serve();
    const std::uint64_t first = fixture.Submit(MakeSpec("a"));
    const std::uint64_t second = fixture.Submit(MakeSpec("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         fixture.Sent<protocol::PlaceTasks>().size());
    fixture.EndAll(TaskState::Succeeded, "x");
    CPPUNIT_ASSERT(*fixture.Reply(first) == *fixture.Reply(second));
    const std::uint64_t late = fixture.Submit(MakeSpec("a"));
    CPPUNIT_ASSERT(*fixture.Reply(first) == *fixture.Reply(late));
  });
  aSection.It("is refused with another body, before and after the outcome", [] {
    Fixture fixture;
    fixture.Serve();
    const std::uint64_t first = fixture.Submit(MakeSpec("a"));
    protocol::RequestSpec other = MakeSpec("a");
    other.mPayload = "other";
    CPPUNIT_ASSERT(RefusalReason::KeyReused ==
                   fixture.Reply(fixture.Submit(other))->mReason);
    fixture.EndAll(TaskState::Succeeded, "x");
    CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(first)->mOutcome);
    CPPUNIT_ASSERT(RefusalReason::KeyReused ==
                   fixture.Reply(fixture.Submit(other))->mReason);
  });
  aSection.It("is new again once the outcome is forgotten", [] {
    Fixture fixture(2, { .mOutcomeRetention = 5'000ms });
    fixture.Serve();
    fixture.Submit(MakeSpec("a"));
    fixture.EndAll(TaskState::Succeeded, "x");
    fixture.Pass(8'000ms);
    CPPUNIT_ASSERT(Outcome::NotFound ==
                   fixture.Reply(fixture.Ask("a"))->mOutcome);
    const std::uint64_t digest = fixture.mCoordinator->StateDigest();
    fixture.Recover();
    CPPUNIT_ASSERT_EQUAL(digest, fixture.mCoordinator->StateDigest());
  });
}

void
CancelStory(Section& aSection)
{
  aSection.It("ends a queued request as not run once its placer confirms", [] {
    Fixture fixture;
    fixture.Serve();
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    const std::uint64_t cancel = fixture.Cancel("a");
    CPPUNIT_ASSERT(Outcome::NotKnownYet == fixture.Reply(cancel)->mOutcome);
    CPPUNIT_ASSERT(!fixture.Reply(call));
    fixture.EndAll(TaskState::NotStarted);
    CPPUNIT_ASSERT(Outcome::NotRun == fixture.Reply(call)->mOutcome);
    CPPUNIT_ASSERT(RefusalReason::Cancelled == fixture.Reply(call)->mReason);
  });
  aSection.It("is repeated until the placer answers", [] {
    Fixture fixture;
    fixture.Serve();
    fixture.Submit(MakeSpec("a"));
    fixture.EndAll(TaskState::Running);
    fixture.Cancel("a");
    fixture.Pass(2'000ms);
    CPPUNIT_ASSERT(fixture.Sent<protocol::CancelTasks>().size() >= 4);
  });
  aSection.It("of 50,000 requests sends one message each and ends all", [] {
    constexpr std::size_t kWave = 50'000;
    Fixture fixture(2, { .mLimitAdmission = false });
    fixture.Serve();
    for (std::size_t number = 0; number < kWave; ++number) {
      fixture.Submit(MakeSpec(std::to_string(number)));
    }
    for (std::size_t number = 0; number < kWave; ++number) {
      fixture.Cancel(std::to_string(number));
    }
    CPPUNIT_ASSERT_EQUAL(kWave, fixture.Sent<protocol::CancelTasks>().size());
    fixture.EndAll(TaskState::NotStarted);
    CPPUNIT_ASSERT(fixture.mCoordinator->IsIdle());
  });
}

void
ServiceStory(Section& aSection)
{
  aSection.It("is running for its submitter, restarts when it ends, and stops "
              "when cancelled",
              [] {
                Fixture fixture;
                fixture.Serve();
                protocol::RequestSpec spec = MakeSpec("s");
                spec.mService = true;
                const std::uint64_t call = fixture.Submit(spec);
                fixture.EndAll(TaskState::Running);
                CPPUNIT_ASSERT(Outcome::Pending ==
                               fixture.Reply(call)->mOutcome);
                fixture.EndAll(TaskState::Succeeded);
                fixture.Pass(11'000ms);
                const auto placed = fixture.Sent<protocol::PlaceTasks>();
                CPPUNIT_ASSERT(placed.back().mAttempt > placed[0].mAttempt);
                fixture.Cancel("s");
                fixture.EndAll(TaskState::Failed);
                CPPUNIT_ASSERT(fixture.mCoordinator->IsIdle());
                CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                                     fixture.mCoordinator->LiveRequests());
              });
}

} // namespace

void
RequestLifeStory(Section& aStory)
{
  aStory.Describe("a caller that waits", WaitingCallerStory);
  aStory.Describe("a second submission under one key", SameKeyStory);
  aStory.Describe("a cancellation", CancelStory);
  aStory.Describe("a service", ServiceStory);
  aStory.It("tells the trail of a request, bounded", [] {
    Fixture fixture;
    fixture.Serve();
    protocol::RequestSpec spec = MakeSpec("s");
    spec.mService = true;
    fixture.Submit(spec);
    for (int restart = 0; restart < 40; ++restart) {
      fixture.EndAll(TaskState::Failed);
      fixture.Pass(11'000ms);
    }
    const auto trail = fixture.Reply(fixture.Ask("s", true))->mTrail;
    CPPUNIT_ASSERT(trail.front().mEvent == "accepted");
    CPPUNIT_ASSERT(trail.size() > 10 && trail.size() < 32);
  });
  aStory.It("spreads the tasks of a workload over shards while there are any",
            [] {
              Fixture fixture(4);
              fixture.mPolicy->mWorkloads[WorkloadId("matches")].mSpread =
                policy::Spread::Zone;
              fixture.Serve();
              auto spec = MakeSpec("s");
              spec.mTaskCount = 5;
              fixture.Submit(spec);
              std::set<ShardId> shards;
              for (const auto& placed : fixture.Sent<protocol::PlaceTasks>()) {
                shards.insert(placed.mRoute.mShard);
              }
              CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, shards.size());
              CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, fixture.Attempts());
            });
  aStory.It("refuses new requests while draining, and finishes the others", [] {
    Fixture fixture;
    fixture.Serve();
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    fixture.Handle(DrainBegan{});
    CPPUNIT_ASSERT(RefusalReason::Stopping ==
                   fixture.Reply(fixture.Submit(MakeSpec("b")))->mReason);
    CPPUNIT_ASSERT(!fixture.mCoordinator->IsIdle());
    fixture.EndAll(TaskState::Succeeded, "x");
    CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(call)->mOutcome);
    CPPUNIT_ASSERT(fixture.mCoordinator->IsIdle());
  });
}

} // namespace oriolevane::coordination
