#include "coordination/tests/fixture.h"
#include "coordination/tests/stories.h"

namespace oriolevane::coordination {

using oriolevane::testing::Section;
using protocol::Outcome;
using protocol::TaskEndReason;
using protocol::TaskState;
using namespace testing;

namespace {

// More than one shard's 48 slots.
protocol::RequestSpec
MakeGang(const std::string& aId)
{
  protocol::RequestSpec spec = MakeSpec(aId);
  spec.mStartTogether = true;
  spec.mTaskCount = 80;
  return spec;
}

void
Hold(Fixture& aFixture, const protocol::PlaceTasks& aPlace)
{
  aFixture.Handle(protocol::TasksHeld{
    .mRoute = { .mShard = aPlace.mRoute.mShard, .mSenderEpoch = Epoch(1) },
    .mRequest = aPlace.mRequest,
    .mAttempt = aPlace.mAttempt,
    .mIndexes = aPlace.mIndexes,
    .mHeldFor = aPlace.mHoldFor });
}

} // namespace

void
GangsStory(Section& aStory)
{
  aStory.It("fits one shard and goes there whole", [] {
    Fixture fixture;
    fixture.Serve();
    protocol::RequestSpec spec = MakeGang("g");
    spec.mTaskCount = 40;
    fixture.Submit(spec);
    const auto placed = fixture.Sent<protocol::PlaceTasks>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, placed.size());
    CPPUNIT_ASSERT(placed[0].mTogether && !placed[0].mHold);
  });
  aStory.It("over two shards holds them in order and starts only when all are "
            "held",
            [] {
              Fixture fixture(3);
              fixture.Serve();
              const std::uint64_t call = fixture.Submit(MakeGang("g"));
              auto placed = fixture.Sent<protocol::PlaceTasks>();
              CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, placed.size());
              Hold(fixture, placed[0]);
              placed = fixture.Sent<protocol::PlaceTasks>();
              CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, placed.size());
              CPPUNIT_ASSERT(placed[0].mRoute.mShard < placed[1].mRoute.mShard);
              CPPUNIT_ASSERT(fixture.Sent<protocol::CommitHold>().empty());
              Hold(fixture, placed[1]);
              CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                                   fixture.Sent<protocol::CommitHold>().size());
              fixture.EndAll(TaskState::Succeeded, "x");
              CPPUNIT_ASSERT(Outcome::Ran == fixture.Reply(call)->mOutcome);
            });
  aStory.It("gives all back when one shard can't hold, and tries again", [] {
    Fixture fixture;
    fixture.Serve();
    fixture.Submit(MakeGang("g"));
    const auto first = fixture.Sent<protocol::PlaceTasks>().front();
    Hold(fixture, first);
    const auto second = fixture.Sent<protocol::PlaceTasks>().back();
    fixture.Update({ second.mRequest, second.mIndexes[0], second.mAttempt },
                   second.mRoute.mShard,
                   TaskState::NotStarted,
                   TaskEndReason::QueueFull);
    CPPUNIT_ASSERT(!fixture.Sent<protocol::CancelTasks>().empty());
    fixture.EndAll(TaskState::NotStarted);
    fixture.Pass(3'000ms);
    const auto again = fixture.Sent<protocol::PlaceTasks>().back();
    CPPUNIT_ASSERT(again.mAttempt > first.mAttempt);
    CPPUNIT_ASSERT(again.mRoute.mShard == first.mRoute.mShard);
    CPPUNIT_ASSERT(fixture.Sent<protocol::CommitHold>().empty());
  });
  aStory.It("is not started when the first hold is about to end", [] {
    Fixture fixture;
    fixture.Serve();
    fixture.Submit(MakeGang("g"));
    Hold(fixture, fixture.Sent<protocol::PlaceTasks>().front());
    fixture.Pass(4'500ms);
    Hold(fixture, fixture.Sent<protocol::PlaceTasks>().back());
    CPPUNIT_ASSERT(fixture.Sent<protocol::CommitHold>().empty());
    CPPUNIT_ASSERT(!fixture.Sent<protocol::CancelTasks>().empty());
  });
  aStory.It("of a never-repeat request is recorded before it is started", [] {
    Fixture fixture;
    fixture.Serve();
    protocol::RequestSpec spec = MakeGang("g");
    spec.mNeverRepeat = true;
    fixture.Submit(spec);
    Hold(fixture, fixture.Sent<protocol::PlaceTasks>().front());
    fixture.mAutoCommit = false;
    Hold(fixture, fixture.Sent<protocol::PlaceTasks>().back());
    CPPUNIT_ASSERT(fixture.Sent<protocol::CommitHold>().empty());
    fixture.Commit();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         fixture.Sent<protocol::CommitHold>().size());
  });
  aStory.It("waits while others of its partition hold, up to the limit", [] {
    Fixture fixture;
    fixture.Serve();
    for (const char* id : { "g1", "g2", "g3" }) {
      fixture.Submit(MakeGang(id));
    }
    const auto placed = fixture.Sent<protocol::PlaceTasks>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, placed.size());
  });
}

} // namespace oriolevane::coordination
