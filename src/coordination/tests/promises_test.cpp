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

protocol::RequestSpec
NeverRepeat(const std::string& aId)
{
  protocol::RequestSpec spec = MakeSpec(aId);
  spec.mNeverRepeat = true;
  return spec;
}

protocol::RequestSpec
NotWaiting(const std::string& aId)
{
  protocol::RequestSpec spec = MakeSpec(aId);
  spec.mCallerWaits = false;
  return spec;
}

void
NeverRepeatStory(Section& aSection)
{
  aSection.It("is sent only once its dispatch is recorded", [] {
    Fixture fixture;
    fixture.Serve();
    fixture.mAutoCommit = false;
    fixture.Submit(NeverRepeat("bill"));
    fixture.Pass(2'000ms);
    CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
    fixture.Commit();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         fixture.Sent<protocol::PlaceTasks>().size());
  });
  aSection.It(
    "is not tried again when its worker is lost, and may have run", [] {
      Fixture fixture;
      fixture.Serve();
      const std::uint64_t call = fixture.Submit(NeverRepeat("bill"));
      fixture.EndAll(TaskState::Unknown);
      CPPUNIT_ASSERT(Outcome::NotKnownYet ==
                     fixture.Reply(fixture.Ask("bill"))->mOutcome);
      fixture.EndAll(TaskState::Lost);
      fixture.Pass(20'000ms);
      CPPUNIT_ASSERT(Outcome::NotKnownYet == fixture.Reply(call)->mOutcome);
      CPPUNIT_ASSERT(RefusalReason::MayHaveRun == fixture.Reply(call)->mReason);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           fixture.Sent<protocol::PlaceTasks>().size());
    });
  aSection.It("is sent elsewhere under a new record when it never started", [] {
    Fixture fixture;
    fixture.Serve();
    const std::uint64_t call = fixture.Submit(NeverRepeat("bill"));
    fixture.mAutoCommit = false;
    fixture.EndAll(TaskState::NotStarted);
    fixture.Pass(1'000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         fixture.Sent<protocol::PlaceTasks>().size());
    fixture.Commit();
    const auto placed = fixture.Sent<protocol::PlaceTasks>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, placed.size());
    CPPUNIT_ASSERT(placed[0].mRoute.mShard != placed[1].mRoute.mShard);
    fixture.mAutoCommit = true;
    fixture.EndAll(TaskState::Succeeded, "paid");
    CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(call)->mOutcome);
  });
  aSection.It(
    "is not believed to be unstarted by another placer than the one "
    "it was sent to",
    [] {
      Fixture fixture;
      fixture.Serve();
      const std::uint64_t call = fixture.Submit(NeverRepeat("bill"));
      fixture.mShardEpoch = 2;
      fixture.EndAll(TaskState::NotStarted);
      fixture.Pass(5'000ms);
      CPPUNIT_ASSERT(!fixture.Reply(call));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           fixture.Sent<protocol::PlaceTasks>().size());
      fixture.Answer(0, 2);
      fixture.Answer(1, 2);
      CPPUNIT_ASSERT(RefusalReason::MayHaveRun == fixture.Reply(call)->mReason);
    });
}

void
OutageStory(Section& aSection)
{
  aSection.It(
    "refuses at once what needs a record, and nothing of it runs", [] {
      Fixture fixture;
      fixture.Serve();
      fixture.Handle(StoreHealth{ false });
      for (const auto& spec : { NeverRepeat("bill"), NotWaiting("job") }) {
        const auto reply = fixture.Reply(fixture.Submit(spec));
        CPPUNIT_ASSERT(Outcome::NotRun == reply->mOutcome);
        CPPUNIT_ASSERT(RefusalReason::StoreUnavailable == reply->mReason);
        CPPUNIT_ASSERT(reply->mRetryAfter.has_value());
      }
      fixture.Handle(StoreHealth{ true });
      fixture.Pass(5'000ms);
      CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
      CPPUNIT_ASSERT(fixture.mJournal.empty());
    });
  aSection.It("lets a repeatable request with a waiting caller go on, and "
              "writes its records later",
              [] {
                Fixture fixture;
                fixture.Serve();
                fixture.Handle(StoreHealth{ false });
                const std::uint64_t call = fixture.Submit(MakeSpec("a"));
                fixture.EndAll(TaskState::Succeeded, "x");
                CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(call)->mOutcome);
                CPPUNIT_ASSERT(fixture.Sent<protocol::UpdateAck>().empty());
                fixture.Handle(StoreHealth{ true });
                CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mJournal.size());
                CPPUNIT_ASSERT_EQUAL(
                  std::size_t{ 1 }, fixture.Sent<protocol::UpdateAck>().size());
              });
  aSection.It("keeps a not-run back until it is recorded", [] {
    Fixture fixture;
    fixture.Serve();
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    fixture.Handle(StoreHealth{ false });
    fixture.Cancel("a");
    fixture.EndAll(TaskState::NotStarted);
    CPPUNIT_ASSERT(Outcome::NotKnownYet == fixture.Reply(call)->mOutcome);
    fixture.Handle(StoreHealth{ true });
    CPPUNIT_ASSERT(Outcome::NotRun ==
                   fixture.Reply(fixture.Ask("a"))->mOutcome);
  });
}

void
FailedRecordStory(Section& aSection)
{
  aSection.It("that may be written is appended again unchanged", [] {
    Fixture fixture;
    fixture.Serve();
    fixture.mAutoCommit = false;
    fixture.Submit(NeverRepeat("bill"));
    const AppendRecord first = fixture.mAppended.back();
    fixture.mAppended.clear();
    fixture.Handle(RecordFailed{ first.mSequence, false });
    fixture.Pass(50ms);
    CPPUNIT_ASSERT(fixture.mAppended.back().mSequence == first.mSequence);
    CPPUNIT_ASSERT(fixture.mAppended.back().mBytes == first.mBytes);
  });
  aSection.It(
    "that may be written once stays so, whatever a later write says", [] {
      Fixture fixture;
      fixture.Serve();
      fixture.mAutoCommit = false;
      const std::uint64_t call = fixture.Submit(NotWaiting("job"));
      const AppendRecord first = fixture.mAppended.back();
      fixture.Handle(RecordFailed{ 1, false });
      fixture.Handle(StoreHealth{ false });
      fixture.Handle(RecordFailed{ 1, true });
      CPPUNIT_ASSERT(Outcome::NotKnownYet == fixture.Reply(call)->mOutcome);
      fixture.mAppended.clear();
      fixture.Handle(StoreHealth{ true });
      fixture.Pass(50ms);
      CPPUNIT_ASSERT(fixture.mAppended.back().mBytes == first.mBytes);
    });
  aSection.It("that is surely not written is given up with its request while "
              "the store is away",
              [] {
                Fixture fixture;
                fixture.Serve();
                fixture.mAutoCommit = false;
                const std::uint64_t call = fixture.Submit(NotWaiting("job"));
                fixture.Handle(RecordFailed{ 1, true });
                CPPUNIT_ASSERT(!fixture.Reply(call));
                fixture.Handle(StoreHealth{ false });
                CPPUNIT_ASSERT(Outcome::NotRun ==
                               fixture.Reply(call)->mOutcome);
                fixture.mAppended.clear();
                fixture.Handle(StoreHealth{ true });
                fixture.Pass(50ms);
                fixture.Commit();
                fixture.Pass(2'000ms);
                CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
                fixture.Recover();
                CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                                     fixture.mCoordinator->LiveRequests());
              });
}

void
RetryStory(Section& aSection)
{
  aSection.It(
    "goes to another shard and avoids the host, until the attempts "
    "are used up",
    [] {
      Fixture fixture;
      fixture.Serve();
      const std::uint64_t call = fixture.Submit(MakeSpec("a"));
      for (int attempt = 0; attempt < 3; ++attempt) {
        fixture.EndAll(TaskState::Failed, "no ink");
        fixture.Pass(2'000ms);
      }
      const auto placed = fixture.Sent<protocol::PlaceTasks>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, fixture.Attempts());
      CPPUNIT_ASSERT(placed[0].mRoute.mShard != placed[1].mRoute.mShard);
      CPPUNIT_ASSERT(placed[1].mAvoid.front() == WorkerId("worker-1"));
      CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(call)->mOutcome);
      CPPUNIT_ASSERT(fixture.Reply(call)->mTasks.front().mState ==
                     TaskState::Failed);
      CPPUNIT_ASSERT(fixture.Reply(call)->mTasks.front().mAnswer == "no ink");
    });
  aSection.It("is bounded by its workload's budget", [] {
    Fixture fixture;
    fixture.mPolicy->mWorkloads[WorkloadId("matches")].mRetry = {
      .mBudgetRatio = 0.1, .mBudgetBurst = 5
    };
    fixture.Serve();
    for (int number = 0; number < 100; ++number) {
      fixture.Submit(MakeSpec(std::to_string(number)));
    }
    for (int round = 0; round < 5; ++round) {
      fixture.EndAll(TaskState::Failed);
      fixture.Pass(12'000ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 105 }, fixture.Attempts());
    CPPUNIT_ASSERT(fixture.mCoordinator->IsIdle());
  });
  aSection.It("ends as never runnable once every shard has said so", [] {
    Fixture fixture;
    fixture.Serve();
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    for (int round = 0; round < 2; ++round) {
      CPPUNIT_ASSERT(!fixture.Reply(call));
      const auto place = fixture.Sent<protocol::PlaceTasks>().back();
      fixture.Update({ place.mRequest, 0, place.mAttempt },
                     place.mRoute.mShard,
                     TaskState::NotStarted,
                     TaskEndReason::NeverRunnable);
      fixture.Pass(2'000ms);
    }
    CPPUNIT_ASSERT(Outcome::NotRun == fixture.Reply(call)->mOutcome);
    CPPUNIT_ASSERT(RefusalReason::NeverRunnable ==
                   fixture.Reply(call)->mReason);
  });
}

} // namespace

void
PromisesStory(Section& aStory)
{
  aStory.Describe("a never-repeat request", NeverRepeatStory);
  aStory.Describe("a store outage", OutageStory);
  aStory.Describe("a record", FailedRecordStory);
  aStory.Describe("a retry", RetryStory);
}

} // namespace oriolevane::coordination
