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

protocol::RequestSpec
MakeNeverRepeatSpec(const std::string& aId)
{
  protocol::RequestSpec spec = MakeSpec(aId);
  spec.mNeverRepeat = true;
  return spec;
}

protocol::RequestSpec
MakeNotWaitingSpec(const std::string& aId)
{
  protocol::RequestSpec spec = MakeSpec(aId);
  spec.mCallerWaits = false;
  return spec;
}

void
NeverRepeatTests(Section& aSection)
{
  aSection.It("is sent only after its dispatch is recorded", [] {
    Fixture fixture;
    fixture.StartServing();
    fixture.mAutoCommit = false;
    fixture.Submit(MakeNeverRepeatSpec("bill"));
    fixture.AdvanceTime(2'000ms);
    CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
    fixture.Commit();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         fixture.Sent<protocol::PlaceTasks>().size());
  });
  aSection.It(
    "is not retried when its worker is lost, and is reported as may have run",
    [] {
      Fixture fixture;
      fixture.StartServing();
      const std::uint64_t call = fixture.Submit(MakeNeverRepeatSpec("bill"));
      fixture.ReportAll(TaskState::Unknown);
      CPPUNIT_ASSERT(Outcome::NotKnownYet ==
                     fixture.Reply(fixture.QueryStatus("bill"))->mOutcome);
      fixture.ReportAll(TaskState::Lost);
      fixture.AdvanceTime(20'000ms);
      CPPUNIT_ASSERT(Outcome::NotKnownYet == fixture.Reply(call)->mOutcome);
      CPPUNIT_ASSERT(RefusalReason::MayHaveRun == fixture.Reply(call)->mReason);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           fixture.Sent<protocol::PlaceTasks>().size());
    });
  aSection.It(
    "is sent to another shard under a new record when it never started", [] {
      Fixture fixture;
      fixture.StartServing();
      const std::uint64_t call = fixture.Submit(MakeNeverRepeatSpec("bill"));
      fixture.mAutoCommit = false;
      fixture.ReportAll(TaskState::NotStarted);
      fixture.AdvanceTime(1'000ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           fixture.Sent<protocol::PlaceTasks>().size());
      fixture.Commit();
      const auto placed = fixture.Sent<protocol::PlaceTasks>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, placed.size());
      CPPUNIT_ASSERT(placed[0].mRoute.mShard != placed[1].mRoute.mShard);
      fixture.mAutoCommit = true;
      fixture.ReportAll(TaskState::Succeeded, "paid");
      CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(call)->mOutcome);
    });
  aSection.It(
    "is taken as not started only on the report of the placer it was sent to",
    [] {
      Fixture fixture;
      fixture.StartServing();
      const std::uint64_t call = fixture.Submit(MakeNeverRepeatSpec("bill"));
      fixture.mShardEpoch = 2;
      fixture.ReportAll(TaskState::NotStarted);
      fixture.AdvanceTime(5'000ms);
      CPPUNIT_ASSERT(!fixture.Reply(call));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           fixture.Sent<protocol::PlaceTasks>().size());
      fixture.AnswerReconcile(0, 2);
      fixture.AnswerReconcile(1, 2);
      CPPUNIT_ASSERT(RefusalReason::MayHaveRun == fixture.Reply(call)->mReason);
    });
}

void
StoreOutageTests(Section& aSection)
{
  aSection.It(
    "causes requests that need a record to be refused at once, and none of "
    "them runs",
    [] {
      Fixture fixture;
      fixture.StartServing();
      fixture.Handle(StoreHealth{ false });
      for (const auto& spec :
           { MakeNeverRepeatSpec("bill"), MakeNotWaitingSpec("job") }) {
        const auto reply = fixture.Reply(fixture.Submit(spec));
        CPPUNIT_ASSERT(Outcome::NotRun == reply->mOutcome);
        CPPUNIT_ASSERT(RefusalReason::StoreUnavailable == reply->mReason);
        CPPUNIT_ASSERT(reply->mRetryAfter.has_value());
      }
      fixture.Handle(StoreHealth{ true });
      fixture.AdvanceTime(5'000ms);
      CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
      CPPUNIT_ASSERT(fixture.mJournal.empty());
    });
  aSection.It("does not stop a repeatable request whose caller waits, and its "
              "records are written later",
              [] {
                Fixture fixture;
                fixture.StartServing();
                fixture.Handle(StoreHealth{ false });
                const std::uint64_t call = fixture.Submit(MakeSpec("a"));
                fixture.ReportAll(TaskState::Succeeded, "x");
                CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(call)->mOutcome);
                CPPUNIT_ASSERT(fixture.Sent<protocol::UpdateAck>().empty());
                fixture.Handle(StoreHealth{ true });
                CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mJournal.size());
                CPPUNIT_ASSERT_EQUAL(
                  std::size_t{ 1 }, fixture.Sent<protocol::UpdateAck>().size());
              });
  aSection.It("delays the outcome not-run until it is recorded", [] {
    Fixture fixture;
    fixture.StartServing();
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    fixture.Handle(StoreHealth{ false });
    fixture.Cancel("a");
    fixture.ReportAll(TaskState::NotStarted);
    CPPUNIT_ASSERT(Outcome::NotKnownYet == fixture.Reply(call)->mOutcome);
    fixture.Handle(StoreHealth{ true });
    CPPUNIT_ASSERT(Outcome::NotRun ==
                   fixture.Reply(fixture.QueryStatus("a"))->mOutcome);
  });
}

void
FailedRecordTests(Section& aSection)
{
  aSection.It("that may have been written is appended again unchanged", [] {
    Fixture fixture;
    fixture.StartServing();
    fixture.mAutoCommit = false;
    fixture.Submit(MakeNeverRepeatSpec("bill"));
    const AppendRecord first = fixture.mAppended.back();
    fixture.mAppended.clear();
    fixture.Handle(RecordFailed{ first.mSequence, false });
    fixture.AdvanceTime(50ms);
    CPPUNIT_ASSERT(fixture.mAppended.back().mSequence == first.mSequence);
    CPPUNIT_ASSERT(fixture.mAppended.back().mBytes == first.mBytes);
  });
  aSection.It(
    "that may have been written is still treated so when a later write reports "
    "that it was not",
    [] {
      Fixture fixture;
      fixture.StartServing();
      fixture.mAutoCommit = false;
      const std::uint64_t call = fixture.Submit(MakeNotWaitingSpec("job"));
      const AppendRecord first = fixture.mAppended.back();
      fixture.Handle(RecordFailed{ 1, false });
      fixture.Handle(StoreHealth{ false });
      fixture.Handle(RecordFailed{ 1, true });
      CPPUNIT_ASSERT(Outcome::NotKnownYet == fixture.Reply(call)->mOutcome);
      fixture.mAppended.clear();
      fixture.Handle(StoreHealth{ true });
      fixture.AdvanceTime(50ms);
      CPPUNIT_ASSERT(fixture.mAppended.back().mBytes == first.mBytes);
    });
  aSection.It(
    "that is known not to be written is dropped with its request while the "
    "store is down",
    [] {
      Fixture fixture;
      fixture.StartServing();
      fixture.mAutoCommit = false;
      const std::uint64_t call = fixture.Submit(MakeNotWaitingSpec("job"));
      fixture.Handle(RecordFailed{ 1, true });
      CPPUNIT_ASSERT(!fixture.Reply(call));
      fixture.Handle(StoreHealth{ false });
      CPPUNIT_ASSERT(Outcome::NotRun == fixture.Reply(call)->mOutcome);
      fixture.mAppended.clear();
      fixture.Handle(StoreHealth{ true });
      fixture.AdvanceTime(50ms);
      fixture.Commit();
      fixture.AdvanceTime(2'000ms);
      CPPUNIT_ASSERT(fixture.Sent<protocol::PlaceTasks>().empty());
      fixture.Recover();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                           fixture.mCoordinator->LiveRequests());
    });
}

void
RetryTests(Section& aSection)
{
  aSection.It(
    "goes to another shard and avoids the worker that failed, until the "
    "attempts are used up",
    [] {
      Fixture fixture;
      fixture.StartServing();
      const std::uint64_t call = fixture.Submit(MakeSpec("a"));
      for (int attempt = 0; attempt < 3; ++attempt) {
        fixture.ReportAll(TaskState::Failed, "disk full");
        fixture.AdvanceTime(2'000ms);
      }
      const auto placed = fixture.Sent<protocol::PlaceTasks>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, fixture.PlacedAttempts());
      CPPUNIT_ASSERT(placed[0].mRoute.mShard != placed[1].mRoute.mShard);
      CPPUNIT_ASSERT(placed[1].mAvoid.front() == WorkerId("worker-1"));
      CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(call)->mOutcome);
      CPPUNIT_ASSERT(fixture.Reply(call)->mTasks.front().mState ==
                     TaskState::Failed);
      CPPUNIT_ASSERT(fixture.Reply(call)->mTasks.front().mAnswer ==
                     "disk full");
    });
  aSection.It("is limited by its workload's retry budget", [] {
    Fixture fixture;
    fixture.mPolicy->mWorkloads[WorkloadId("matches")].mRetry = {
      .mBudgetRatio = 0.1, .mBudgetBurst = 5
    };
    fixture.StartServing();
    for (int number = 0; number < 100; ++number) {
      fixture.Submit(MakeSpec(std::to_string(number)));
    }
    for (int round = 0; round < 5; ++round) {
      fixture.ReportAll(TaskState::Failed);
      fixture.AdvanceTime(12'000ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 105 }, fixture.PlacedAttempts());
    CPPUNIT_ASSERT(fixture.mCoordinator->IsIdle());
  });
  aSection.It("ends as never runnable once every shard has reported so", [] {
    Fixture fixture;
    fixture.StartServing();
    const std::uint64_t call = fixture.Submit(MakeSpec("a"));
    for (int round = 0; round < 2; ++round) {
      CPPUNIT_ASSERT(!fixture.Reply(call));
      const auto place = fixture.Sent<protocol::PlaceTasks>().back();
      fixture.SendTaskUpdate({ place.mRequest, 0, place.mAttempt },
                             place.mRoute.mShard,
                             TaskState::NotStarted,
                             TaskEndReason::NeverRunnable);
      fixture.AdvanceTime(2'000ms);
    }
    CPPUNIT_ASSERT(Outcome::NotRun == fixture.Reply(call)->mOutcome);
    CPPUNIT_ASSERT(RefusalReason::NeverRunnable ==
                   fixture.Reply(call)->mReason);
  });
}

} // namespace

void
GuaranteeTests(Section& aRoot)
{
  aRoot.Describe("a never-repeat request", NeverRepeatTests);
  aRoot.Describe("a store outage", StoreOutageTests);
  aRoot.Describe("a record", FailedRecordTests);
  aRoot.Describe("a retry", RetryTests);
}

} // namespace oriolevane::coordination
