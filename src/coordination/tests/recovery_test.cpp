#include <random>

#include "coordination/tests/fixture.h"
#include "coordination/tests/testgroups.h"

namespace oriolevane::coordination {

using oriolevane::testing::Section;
using protocol::Outcome;
using protocol::RefusalReason;
using protocol::TaskState;
using namespace testing;

namespace {

protocol::HeldTask
MakeHeldTask(const protocol::PlaceTasks& aPlace, TaskState aState)
{
  return { .mTask = { aPlace.mRequest, 0, aPlace.mAttempt },
           .mState = aState,
           .mWorker = WorkerId("worker-1") };
}

void
RecoveredStateTests(Section& aSection)
{
  aSection.It(
    "is the same from the journal as from a snapshot and the records after it",
    [] {
      Fixture fixture;
      fixture.StartServing();
      std::string snapshot;
      for (int number = 0; number < 20; ++number) {
        protocol::RequestSpec spec = MakeSpec(std::to_string(number));
        spec.mNeverRepeat = number % 2 == 0;
        fixture.Submit(spec);
        if (number % 3 == 0) {
          fixture.ReportAll(TaskState::Succeeded, "x");
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
  aSection.It("is rejected when bytes are truncated or records missing, and "
              "changed bytes do no harm",
              [] {
                Fixture fixture;
                fixture.StartServing();
                protocol::RequestSpec spec = MakeSpec("a");
                spec.mNeverRepeat = true;
                fixture.Submit(spec);
                fixture.ReportAll(TaskState::Succeeded, "x");
                const std::string snapshot = fixture.mCoordinator->Snapshot();
                std::mt19937_64 random(7);
                for (int trial = 0; trial < 5'000; ++trial) {
                  std::string bytes =
                    trial % 2 == 0 ? snapshot : fixture.mJournal.front();
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
PartitionTakeoverTests(Section& aSection)
{
  aSection.It(
    "adopts the attempts that a shard still holds and replies with their "
    "answers",
    [] {
      Fixture fixture;
      fixture.StartServing();
      fixture.Submit(MakeSpec("a"));
      const auto place = fixture.Sent<protocol::PlaceTasks>().front();
      fixture.Recover();
      fixture.mCoordinator->BeginServing(fixture.mNow);
      fixture.Handle(PolicyChanged{ fixture.mPolicy });
      const std::uint64_t early = fixture.Submit(MakeSpec("b"));
      CPPUNIT_ASSERT(RefusalReason::Recovering ==
                     fixture.Reply(early)->mReason);
      fixture.AnswerReconcile(place.mRoute.mShard.mValue,
                              1,
                              { MakeHeldTask(place, TaskState::Running) });
      CPPUNIT_ASSERT(!fixture.mCoordinator->IsServing());
      fixture.AnswerReconcile(1 - place.mRoute.mShard.mValue, 1);
      CPPUNIT_ASSERT(fixture.mCoordinator->IsServing());
      fixture.AdvanceTime(2'000ms);
      CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
      const std::uint64_t call = fixture.Submit(MakeSpec("a"));
      fixture.SendTaskUpdate({ place.mRequest, 0, place.mAttempt },
                             place.mRoute.mShard,
                             TaskState::Succeeded,
                             protocol::TaskEndReason::Completed,
                             "x");
      CPPUNIT_ASSERT(fixture.Reply(call)->mTasks.front().mAnswer == "x");
    });
  aSection.It(
    "retries a repeatable request as a new attempt, but not a never-repeat one",
    [] {
      Fixture fixture;
      fixture.StartServing();
      fixture.Submit(MakeSpec("a"));
      protocol::RequestSpec bill = MakeSpec("bill");
      bill.mNeverRepeat = true;
      fixture.Submit(bill);
      const auto before = fixture.Sent<protocol::PlaceTasks>();
      fixture.Recover();
      fixture.StartServing();
      fixture.AdvanceTime(500ms);
      const auto after = fixture.Sent<protocol::PlaceTasks>();
      CPPUNIT_ASSERT(after.front().mRequest == RequestId("a"));
      CPPUNIT_ASSERT(after.front().mAttempt > before[0].mAttempt);
      for (const auto& place : after) {
        CPPUNIT_ASSERT(place.mRequest != RequestId("bill"));
      }
      CPPUNIT_ASSERT(RefusalReason::MayHaveRun ==
                     fixture.Reply(fixture.QueryStatus("bill"))->mReason);
    });
  aSection.It(
    "does not report not-run for a request that its predecessor may have sent",
    [] {
      Fixture fixture;
      fixture.StartServing();
      fixture.Submit(MakeSpec("a"));
      fixture.Recover();
      fixture.StartServing();
      fixture.Cancel("a");
      fixture.ReportAll(TaskState::NotStarted);
      const auto reply = fixture.Reply(fixture.QueryStatus("a"));
      CPPUNIT_ASSERT(Outcome::NotKnownYet == reply->mOutcome);
      CPPUNIT_ASSERT(RefusalReason::Cancelled == reply->mReason);
    });
}

void
LateUpdateTests(Section& aSection)
{
  aSection.It(
    "does not take the end of an earlier attempt for that of the recorded one",
    [] {
      Fixture fixture;
      fixture.StartServing();
      protocol::RequestSpec bill = MakeSpec("bill");
      bill.mNeverRepeat = true;
      fixture.Submit(bill);
      fixture.ReportAll(TaskState::NotStarted);
      fixture.AdvanceTime(1'000ms);
      const auto first = fixture.Sent<protocol::PlaceTasks>().front();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.PlacedAttempts());
      fixture.Recover();
      fixture.mCoordinator->BeginServing(fixture.mNow);
      const std::uint32_t shard = first.mRoute.mShard.mValue;
      fixture.AnswerReconcile(
        shard, 1, { MakeHeldTask(first, TaskState::NotStarted) });
      fixture.AnswerReconcile(1 - shard, 1);
      CPPUNIT_ASSERT(RefusalReason::MayHaveRun ==
                     fixture.Reply(fixture.QueryStatus("bill"))->mReason);
    });
  aSection.It(
    "does not take a late not-owner update for the end of the attempt", [] {
      Fixture fixture;
      fixture.StartServing();
      protocol::RequestSpec bill = MakeSpec("bill");
      bill.mNeverRepeat = true;
      fixture.Submit(bill);
      const auto place = fixture.Sent<protocol::PlaceTasks>().front();
      const std::uint32_t shard = place.mRoute.mShard.mValue;
      fixture.Recover();
      fixture.mCoordinator->BeginServing(fixture.mNow);
      fixture.Handle(PolicyChanged{ fixture.mPolicy });
      fixture.Handle(DigestReceived{ MakeDigest(0, 1, 2) });
      fixture.Handle(DigestReceived{ MakeDigest(1, 1, 2) });
      fixture.AnswerReconcile(
        shard, 1, { MakeHeldTask(place, TaskState::Running) });
      fixture.AnswerReconcile(1 - shard, 1);
      fixture.SendTaskUpdate({ place.mRequest, 0, place.mAttempt },
                             place.mRoute.mShard,
                             TaskState::NotStarted,
                             protocol::TaskEndReason::NotOwner);
      fixture.AdvanceTime(2'000ms);
      CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
    });
}

void
OrphanTests(Section& aSection)
{
  aSection.It(
    "cancels attempts without a record, and reports not-known-yet until they "
    "have ended",
    [] {
      Fixture fixture;
      fixture.StartServing();
      fixture.Handle(StoreHealth{ false });
      fixture.Submit(MakeSpec("a"));
      const auto place = fixture.Sent<protocol::PlaceTasks>().front();
      fixture.Recover();
      fixture.mCoordinator->BeginServing(fixture.mNow);
      fixture.Handle(PolicyChanged{ fixture.mPolicy });
      fixture.AnswerReconcile(
        0, 1, { MakeHeldTask(place, TaskState::Running) });
      fixture.AnswerReconcile(1, 1);
      CPPUNIT_ASSERT(Outcome::NotKnownYet ==
                     fixture.Reply(fixture.QueryStatus("a"))->mOutcome);
      CPPUNIT_ASSERT(Outcome::NotKnownYet ==
                     fixture.Reply(fixture.Submit(MakeSpec("a")))->mOutcome);
      fixture.AdvanceTime(500ms);
      CPPUNIT_ASSERT(
        fixture.Sent<protocol::CancelTasks>().front().mTasks.front().mAttempt ==
        place.mAttempt);
      fixture.SendTaskUpdate(
        { place.mRequest, 0, place.mAttempt }, ShardId(0), TaskState::Failed);
      CPPUNIT_ASSERT(!fixture.Sent<protocol::UpdateAck>().empty());
      fixture.Submit(MakeSpec("a"));
      const std::uint64_t cancel = fixture.Cancel("a");
      CPPUNIT_ASSERT(Outcome::NotRun != fixture.Reply(cancel)->mOutcome);
    });
}

void
ShardTakeoverTests(Section& aSection)
{
  aSection.It("is asked what it holds before anything is sent again", [] {
    Fixture fixture;
    fixture.StartServing();
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    const auto place = fixture.Sent<protocol::PlaceTasks>().front();
    const std::uint32_t shard = place.mRoute.mShard.mValue;
    fixture.mSent.clear();
    fixture.Handle(DigestReceived{ MakeDigest(shard, 2, 1) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         fixture.Sent<protocol::ReconcileQuery>().size());
    fixture.AnswerReconcile(shard, 2, {}, false);
    fixture.AdvanceTime(2'000ms);
    CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
    fixture.AnswerReconcile(shard, 2);
    fixture.AdvanceTime(1'000ms);
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
RecoveryTests(Section& aRoot)
{
  aRoot.Describe("the recovered state", RecoveredStateTests);
  aRoot.Describe("a new owner", PartitionTakeoverTests);
  aRoot.Describe("a new owner", LateUpdateTests);
  aRoot.Describe("a new owner", OrphanTests);
  aRoot.Describe("a shard's new placer", ShardTakeoverTests);
}

} // namespace oriolevane::coordination
