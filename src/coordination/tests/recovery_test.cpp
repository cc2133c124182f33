#include <random>

#include "coordination/tests/fixture.h"
#include "coordination/tests/stories.h"

namespace oriolevane::coordination {

using oriolevane::testing::Section;
using protocol::Outcome;
using protocol::RefusalReason;
using protocol::TaskState;
using namespace testing;

namespace {

protocol::HeldTask
HeldOf(const protocol::PlaceTasks& aPlace, TaskState aState)
{
  return { .mTask = { aPlace.mRequest, 0, aPlace.mAttempt },
           .mState = aState,
           .mWorker = WorkerId("worker-1") };
}

void
StateStory(Section& aSection)
{
  aSection.It(
    "is equal from the journal, and from a snapshot and the records "
    "after it",
    [] {
      Fixture fixture;
      fixture.Serve();
      std::string snapshot;
      for (int number = 0; number < 20; ++number) {
        protocol::RequestSpec spec = MakeSpec(std::to_string(number));
        spec.mNeverRepeat = number % 2 == 0;
        fixture.Submit(spec);
        if (number % 3 == 0) {
          fixture.EndAll(TaskState::Succeeded, "x");
        }
        if (number == 9) {
          fixture.Cancel("8");
          snapshot = fixture.mCoordinator->Snapshot();
        }
      }
      const std::uint64_t digest = fixture.mCoordinator->StateDigest();
      Coordinator fromSnapshot(fixture.mOptions);
      CPPUNIT_ASSERT(fromSnapshot.Restore(snapshot).ok());
      for (const std::string& record : fixture.mJournal) {
        CPPUNIT_ASSERT(fromSnapshot.Replay(record).ok());
      }
      CPPUNIT_ASSERT_EQUAL(digest, fromSnapshot.StateDigest());
      fixture.Recover();
      CPPUNIT_ASSERT_EQUAL(digest, fixture.mCoordinator->StateDigest());
    });
  aSection.It("is refused when bytes are cut, changed or missing", [] {
    Fixture fixture;
    fixture.Serve();
    protocol::RequestSpec spec = MakeSpec("a");
    spec.mNeverRepeat = true;
    fixture.Submit(spec);
    fixture.EndAll(TaskState::Succeeded, "x");
    const std::string snapshot = fixture.mCoordinator->Snapshot();
    std::mt19937_64 random(7);
    for (int trial = 0; trial < 5'000; ++trial) {
      std::string bytes = trial % 2 == 0 ? snapshot : fixture.mJournal.front();
      bytes[random() % bytes.size()] = static_cast<char>(random());
      Coordinator changed(fixture.mOptions);
      static_cast<void>(changed.Restore(bytes));
      static_cast<void>(changed.Replay(bytes));
      bytes.resize(random() % bytes.size());
      Coordinator cut(fixture.mOptions);
      CPPUNIT_ASSERT(!cut.Restore(bytes).ok());
      CPPUNIT_ASSERT(!cut.Replay(bytes).ok());
    }
    Coordinator gap(fixture.mOptions);
    CPPUNIT_ASSERT(!gap.Replay(fixture.mJournal.back()).ok());
  });
}

void
TakeoverStory(Section& aSection)
{
  aSection.It("keeps what a shard still holds and answers for it", [] {
    Fixture fixture;
    fixture.Serve();
    fixture.Submit(MakeSpec("a"));
    const auto place = fixture.Sent<protocol::PlaceTasks>().front();
    fixture.Recover();
    fixture.mCoordinator->BeginServing(fixture.mNow);
    fixture.Handle(PolicyChanged{ fixture.mPolicy });
    const std::uint64_t early = fixture.Submit(MakeSpec("b"));
    CPPUNIT_ASSERT(RefusalReason::Recovering == fixture.Reply(early)->mReason);
    fixture.Answer(
      place.mRoute.mShard.mValue, 1, { HeldOf(place, TaskState::Running) });
    CPPUNIT_ASSERT(!fixture.mCoordinator->IsServing());
    fixture.Answer(1 - place.mRoute.mShard.mValue, 1);
    CPPUNIT_ASSERT(fixture.mCoordinator->IsServing());
    fixture.Pass(2'000ms);
    CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    fixture.Update({ place.mRequest, 0, place.mAttempt },
                   place.mRoute.mShard,
                   TaskState::Succeeded,
                   protocol::TaskEndReason::Completed,
                   "x");
    CPPUNIT_ASSERT(fixture.Reply(call)->mTasks.front().mAnswer == "x");
  });
  aSection.It(
    "tries a repeatable request anew under an attempt of its own, and "
    "no never-repeat one",
    [] {
      Fixture fixture;
      fixture.Serve();
      fixture.Submit(MakeSpec("a"));
      protocol::RequestSpec bill = MakeSpec("bill");
      bill.mNeverRepeat = true;
      fixture.Submit(bill);
      const auto before = fixture.Sent<protocol::PlaceTasks>();
      fixture.Recover();
      fixture.Serve();
      fixture.Pass(500ms);
      const auto after = fixture.Sent<protocol::PlaceTasks>();
      CPPUNIT_ASSERT(after.front().mRequest == RequestId("a"));
      CPPUNIT_ASSERT(after.front().mAttempt > before[0].mAttempt);
      for (const auto& place : after) {
        CPPUNIT_ASSERT(place.mRequest != RequestId("bill"));
      }
      CPPUNIT_ASSERT(RefusalReason::MayHaveRun ==
                     fixture.Reply(fixture.Ask("bill"))->mReason);
    });
  aSection.It(
    "does not take an earlier attempt's end for the recorded one's", [] {
      Fixture fixture;
      fixture.Serve();
      protocol::RequestSpec bill = MakeSpec("bill");
      bill.mNeverRepeat = true;
      fixture.Submit(bill);
      fixture.EndAll(TaskState::NotStarted);
      fixture.Pass(1'000ms);
      const auto first = fixture.Sent<protocol::PlaceTasks>().front();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Attempts());
      fixture.Recover();
      fixture.mCoordinator->BeginServing(fixture.mNow);
      const std::uint32_t shard = first.mRoute.mShard.mValue;
      fixture.Answer(shard, 1, { HeldOf(first, TaskState::NotStarted) });
      fixture.Answer(1 - shard, 1);
      CPPUNIT_ASSERT(RefusalReason::MayHaveRun ==
                     fixture.Reply(fixture.Ask("bill"))->mReason);
    });
  aSection.It("does not take a late word of not owning for the attempt's end",
              [] {
                Fixture fixture;
                fixture.Serve();
                protocol::RequestSpec bill = MakeSpec("bill");
                bill.mNeverRepeat = true;
                fixture.Submit(bill);
                const auto place = fixture.Sent<protocol::PlaceTasks>().front();
                const std::uint32_t shard = place.mRoute.mShard.mValue;
                fixture.Recover();
                fixture.mCoordinator->BeginServing(fixture.mNow);
                fixture.Answer(shard, 1, { HeldOf(place, TaskState::Running) });
                fixture.Answer(1 - shard, 1);
                fixture.Update({ place.mRequest, 0, place.mAttempt },
                               place.mRoute.mShard,
                               TaskState::NotStarted,
                               protocol::TaskEndReason::NotOwner);
                fixture.Pass(2'000ms);
                CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
              });
  aSection.It(
    "ends attempts that no record knows, and says not-known-yet of "
    "them until then",
    [] {
      Fixture fixture;
      fixture.Serve();
      fixture.Handle(StoreHealth{ false });
      fixture.Submit(MakeSpec("a"));
      const auto place = fixture.Sent<protocol::PlaceTasks>().front();
      fixture.Recover();
      fixture.mCoordinator->BeginServing(fixture.mNow);
      fixture.Handle(PolicyChanged{ fixture.mPolicy });
      fixture.Answer(0, 1, { HeldOf(place, TaskState::Running) });
      fixture.Answer(1, 1);
      CPPUNIT_ASSERT(Outcome::NotKnownYet ==
                     fixture.Reply(fixture.Ask("a"))->mOutcome);
      CPPUNIT_ASSERT(Outcome::NotKnownYet ==
                     fixture.Reply(fixture.Submit(MakeSpec("a")))->mOutcome);
      fixture.Pass(500ms);
      CPPUNIT_ASSERT(
        fixture.Sent<protocol::CancelTasks>().front().mTasks.front().mAttempt ==
        place.mAttempt);
      fixture.Update(
        { place.mRequest, 0, place.mAttempt }, ShardId(0), TaskState::Failed);
      CPPUNIT_ASSERT(!fixture.Sent<protocol::UpdateAck>().empty());
      fixture.Submit(MakeSpec("a"));
      const std::uint64_t cancel = fixture.Cancel("a");
      CPPUNIT_ASSERT(Outcome::NotRun != fixture.Reply(cancel)->mOutcome);
    });
}

void
ShardTakeoverStory(Section& aSection)
{
  aSection.It("is asked what it holds before anything is sent again", [] {
    Fixture fixture;
    fixture.Serve();
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    const auto place = fixture.Sent<protocol::PlaceTasks>().front();
    const std::uint32_t shard = place.mRoute.mShard.mValue;
    fixture.mSent.clear();
    fixture.Handle(DigestReceived{ MakeDigest(shard, 2, 1) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         fixture.Sent<protocol::ReconcileQuery>().size());
    fixture.Answer(shard, 2, {}, false);
    fixture.Pass(2'000ms);
    CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
    fixture.Answer(shard, 2);
    fixture.Pass(1'000ms);
    const auto again = fixture.Sent<protocol::PlaceTasks>();
    CPPUNIT_ASSERT(again.front().mAttempt > place.mAttempt);
    fixture.Handle(protocol::TaskUpdate{
      .mRoute = { .mShard = ShardId(shard), .mSenderEpoch = Epoch(1) },
      .mTask = { place.mRequest, 0, place.mAttempt },
      .mState = TaskState::Succeeded });
    CPPUNIT_ASSERT(!fixture.Reply(call));
  });
}

} // namespace

void
RecoveryStory(Section& aStory)
{
  aStory.Describe("the recovered state", StateStory);
  aStory.Describe("a new owner", TakeoverStory);
  aStory.Describe("a shard's new placer", ShardTakeoverStory);
}

} // namespace oriolevane::coordination
