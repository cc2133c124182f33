#include "coordination/tests/fixture.h"
#include "coordination/tests/testgroups.h"

namespace oriolevane::coordination {

using oriolevane::testing::Section;
using protocol::Outcome;
using protocol::TaskEndReason;
using protocol::TaskState;
using namespace testing;

namespace {

// Needs more than the 48 slots of one shard, so it is split over two.
protocol::RequestSpec
MakeGang(const std::string& aId)
{
  protocol::RequestSpec spec = MakeSpec(aId);
  spec.mStartTogether = true;
  spec.mTaskCount = 80;
  return spec;
}

void
ConfirmHold(Fixture& aFixture, const protocol::PlaceTasks& aPlace)
{
  aFixture.Handle(protocol::TasksHeld{
    .mRoute = { .mShard = aPlace.mRoute.mShard, .mSenderEpoch = Epoch(1) },
    .mRequest = aPlace.mRequest,
    .mAttempt = aPlace.mAttempt,
    .mIndexes = aPlace.mIndexes,
    .mHeldFor = aPlace.mHoldFor });
}

void
GangStartTests(Section& aSection)
{
  aSection.It("that fits one shard is placed there whole", [] {
    Fixture fixture;
    fixture.StartServing();
    protocol::RequestSpec spec = MakeGang("g");
    spec.mTaskCount = 40;
    fixture.Submit(spec);
    const auto placed = fixture.Sent<protocol::PlaceTasks>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, placed.size());
    CPPUNIT_ASSERT(placed[0].mTogether && !placed[0].mHold);
  });
  aSection.It(
    "over two shards is held in shard order and starts only when all of it is "
    "held",
    [] {
      Fixture fixture(3);
      fixture.StartServing();
      const std::uint64_t call = fixture.Submit(MakeGang("g"));
      auto placed = fixture.Sent<protocol::PlaceTasks>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, placed.size());
      ConfirmHold(fixture, placed[0]);
      placed = fixture.Sent<protocol::PlaceTasks>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, placed.size());
      CPPUNIT_ASSERT(placed[0].mRoute.mShard < placed[1].mRoute.mShard);
      CPPUNIT_ASSERT(fixture.Sent<protocol::CommitHold>().empty());
      ConfirmHold(fixture, placed[1]);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                           fixture.Sent<protocol::CommitHold>().size());
      fixture.ReportAll(TaskState::Succeeded, "x");
      CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(call)->mOutcome);
    });
}

void
GangReleaseTests(Section& aSection)
{
  aSection.It("releases all its holds when one shard cannot hold its tasks, "
              "and is tried again",
              [] {
                Fixture fixture;
                fixture.StartServing();
                fixture.Submit(MakeGang("g"));
                const auto first = fixture.Sent<protocol::PlaceTasks>().front();
                ConfirmHold(fixture, first);
                const auto second = fixture.Sent<protocol::PlaceTasks>().back();
                fixture.SendTaskUpdate(
                  { second.mRequest, second.mIndexes[0], second.mAttempt },
                  second.mRoute.mShard,
                  TaskState::NotStarted,
                  TaskEndReason::QueueFull);
                CPPUNIT_ASSERT(!fixture.Sent<protocol::CancelTasks>().empty());
                fixture.ReportAll(TaskState::NotStarted);
                fixture.AdvanceTime(3'000ms);
                const auto again = fixture.Sent<protocol::PlaceTasks>().back();
                CPPUNIT_ASSERT(again.mAttempt > first.mAttempt);
                CPPUNIT_ASSERT(again.mRoute.mShard == first.mRoute.mShard);
                CPPUNIT_ASSERT(fixture.Sent<protocol::CommitHold>().empty());
              });
  aSection.It("is not started when the first hold is about to expire", [] {
    Fixture fixture;
    fixture.StartServing();
    fixture.Submit(MakeGang("g"));
    ConfirmHold(fixture, fixture.Sent<protocol::PlaceTasks>().front());
    fixture.AdvanceTime(4'500ms);
    ConfirmHold(fixture, fixture.Sent<protocol::PlaceTasks>().back());
    CPPUNIT_ASSERT(fixture.Sent<protocol::CommitHold>().empty());
    CPPUNIT_ASSERT(!fixture.Sent<protocol::CancelTasks>().empty());
  });
  aSection.It("of a never-repeat request is recorded before it is started", [] {
    Fixture fixture;
    fixture.StartServing();
    protocol::RequestSpec spec = MakeGang("g");
    spec.mNeverRepeat = true;
    fixture.Submit(spec);
    ConfirmHold(fixture, fixture.Sent<protocol::PlaceTasks>().front());
    fixture.mAutoCommit = false;
    ConfirmHold(fixture, fixture.Sent<protocol::PlaceTasks>().back());
    CPPUNIT_ASSERT(fixture.Sent<protocol::CommitHold>().empty());
    fixture.Commit();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         fixture.Sent<protocol::CommitHold>().size());
  });
  aSection.It("waits while the gangs of its partition that hold resources are "
              "at the limit",
              [] {
                Fixture fixture;
                fixture.StartServing();
                for (const char* id : { "g1", "g2", "g3" }) {
                  fixture.Submit(MakeGang(id));
                }
                const auto placed = fixture.Sent<protocol::PlaceTasks>();
                CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, placed.size());
              });
}

} // namespace

void
GangTests(Section& aRoot)
{
  aRoot.Describe("a gang", GangStartTests);
  aRoot.Describe("a gang over two shards", GangReleaseTests);
}

} // namespace oriolevane::coordination
