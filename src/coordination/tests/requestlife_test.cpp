#include "coordination/tests/fixture.h"
#include "coordination/tests/stories.h"

namespace oriolevane::coordination {

using oriolevane::testing::Section;
using protocol::Outcome;
using protocol::RefusalReason;
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
}

} // namespace

void
RequestLifeStory(Section& aStory)
{
  aStory.Describe("a caller that waits", WaitingCallerStory);
}

} // namespace oriolevane::coordination
