#include "journal/tests/stories.h"
#include "journal/tests/testjournal.h"

namespace oriolevane::journal {

using standins::CommitFate;
using standins::ScriptedPlatform;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Section;
using Numbers = std::vector<std::uint64_t>;

namespace {

struct Fixture
{
  ScriptedPlatform mPlatform;
  TestJournal mJournal{ mPlatform };

  Fixture()
  {
    mJournal.Acquire(0);
    mJournal.Acquire(1);
  }
  Numbers Committed(std::uint32_t aPartition) const
  {
    return mJournal.Reported(aPartition, AppendResult::Committed);
  }
  Numbers Deposed(std::uint32_t aPartition) const
  {
    return mJournal.Reported(aPartition, AppendResult::Deposed);
  }
  Numbers Refused(std::uint32_t aPartition) const
  {
    return mJournal.Reported(aPartition, AppendResult::Refused);
  }
  std::size_t Recovered(std::uint32_t aPartition)
  {
    return mJournal.Recover(aPartition).mRecords.size();
  }
};

void
Grouping(Section& aSection)
{
  aSection.It("one transaction carries the records of all partitions", [] {
    Fixture fixture;
    const auto before = fixture.mPlatform.Store().Statistics({});
    for (std::uint64_t sequence = 1; sequence <= 50; ++sequence) {
      fixture.mJournal.Append(0, sequence);
      fixture.mJournal.Append(1, sequence);
    }
    fixture.mJournal.Run(milliseconds(50));
    const auto after = fixture.mPlatform.Store().Statistics({});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         after.mTransactions - before.mTransactions);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 },
                         after.mRowsWritten - before.mRowsWritten);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 50 }, fixture.Committed(0).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 50 }, fixture.Recovered(1));
  });
  aSection.It("a large queue is split into rows and transactions", [] {
    Fixture fixture;
    const std::string large(60'000, 'x');
    for (std::uint64_t sequence = 1; sequence <= 40; ++sequence) {
      fixture.mJournal.Append(0, sequence, large);
    }
    fixture.mJournal.Append(1, 1);
    fixture.mJournal.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 40 }, fixture.Committed(0).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 40 }, fixture.Recovered(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Committed(1).size());
  });
  aSection.It("a record above the limit is refused and harms no other", [] {
    Fixture fixture;
    fixture.mJournal.Append(0, 1, std::string(100'000, 'x'));
    fixture.mJournal.Append(0, 2);
    fixture.mJournal.Run(seconds(1));
    CPPUNIT_ASSERT(fixture.Refused(0) == Numbers{ 1 });
    CPPUNIT_ASSERT(fixture.Committed(0) == Numbers{ 2 });
  });
  aSection.It("a partition that is not open takes nothing", [] {
    Fixture fixture;
    fixture.mJournal.Append(7, 1);
    CPPUNIT_ASSERT(fixture.Refused(7) == Numbers{ 1 });
    CPPUNIT_ASSERT(fixture.mJournal.AllFailuresSurelyNotWritten());
  });
}

void
LostAnswers(Section& aSection)
{
  aSection.It("an effect whose answer was lost is recognised", [] {
    Fixture fixture;
    fixture.mPlatform.Script({ CommitFate::LoseAnswer });
    fixture.mJournal.Append(0, 1);
    fixture.mJournal.Run(seconds(1));
    CPPUNIT_ASSERT(fixture.Committed(0) == Numbers{ 1 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Recovered(0));
  });
  aSection.It("a lost request is sent again, unchanged", [] {
    Fixture fixture;
    fixture.mPlatform.Script(
      { CommitFate::LoseRequest, CommitFate::LoseAnswer });
    fixture.mJournal.Append(0, 1);
    fixture.mJournal.Run(milliseconds(50));
    fixture.mJournal.Append(0, 2);
    fixture.mJournal.Run(seconds(2));
    CPPUNIT_ASSERT((fixture.Committed(0) == Numbers{ 1, 2 }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Recovered(0));
  });
  aSection.It("a request that takes effect late is written once", [] {
    Fixture fixture;
    fixture.mPlatform.Script({ CommitFate::Delay, CommitFate::Delay });
    fixture.mJournal.Append(0, 1);
    fixture.mJournal.Append(1, 1);
    fixture.mJournal.Run(milliseconds(50));
    fixture.mJournal.Append(0, 2);
    fixture.mPlatform.ApplyLate();
    fixture.mJournal.Run(seconds(2));
    fixture.mPlatform.ApplyLate();
    CPPUNIT_ASSERT((fixture.Committed(0) == Numbers{ 1, 2 }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.Recovered(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Recovered(1));
  });
}

void
Outages(Section& aSection)
{
  aSection.It("records wait through a short outage", [] {
    Fixture fixture;
    fixture.mPlatform.SetAway(true);
    fixture.mJournal.Append(0, 1);
    fixture.mJournal.Run(seconds(3));
    fixture.mPlatform.SetAway(false);
    fixture.mJournal.Run(seconds(2));
    CPPUNIT_ASSERT(fixture.Committed(0) == Numbers{ 1 });
    CPPUNIT_ASSERT((fixture.mJournal.mHealth ==
                    std::vector{ StoreHealth::Down, StoreHealth::Up }));
  });
  aSection.It("records that wait too long are surely not written", [] {
    Fixture fixture;
    fixture.mPlatform.SetAway(true);
    fixture.mJournal.Append(0, 1);
    fixture.mJournal.Append(0, 2);
    fixture.mJournal.Run(seconds(30));
    CPPUNIT_ASSERT((fixture.Refused(0) == Numbers{ 1, 2 }));
    CPPUNIT_ASSERT(fixture.mJournal.AllFailuresSurelyNotWritten());
    fixture.mPlatform.SetAway(false);
    fixture.mJournal.Run(seconds(3));
    CPPUNIT_ASSERT(fixture.mJournal.mHealth.back() == StoreHealth::Up);
    fixture.mJournal.Append(0, 3);
    fixture.mJournal.Run(seconds(1));
    CPPUNIT_ASSERT(fixture.Committed(0) == Numbers{ 3 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Recovered(0));
  });
  aSection.It("what may be written is kept through an outage", [] {
    Fixture fixture;
    fixture.mPlatform.Script({ CommitFate::LoseAnswer });
    fixture.mPlatform.mBeforeCommit = [&](const auto&) {
      fixture.mPlatform.mBeforeCommit = nullptr;
    };
    fixture.mJournal.Append(0, 1);
    auto table = fixture.mPlatform.Table();
    fixture.mJournal.mLoop.Step(fixture.mJournal.mNow);
    fixture.mPlatform.SetAway(true);
    fixture.mJournal.Append(0, 2);
    fixture.mJournal.Run(seconds(30));
    CPPUNIT_ASSERT(fixture.Refused(0) == Numbers{ 2 });
    fixture.mPlatform.SetAway(false);
    fixture.mJournal.Run(seconds(3));
    CPPUNIT_ASSERT(fixture.Committed(0) == Numbers{ 1 });
  });
  aSection.It("a full queue refuses, and what is in it stays", [] {
    Fixture fixture;
    fixture.mPlatform.SetAway(true);
    const std::string large(60'000, 'x');
    for (std::uint64_t sequence = 1; sequence <= 80; ++sequence) {
      fixture.mJournal.Append(0, sequence, large);
    }
    CPPUNIT_ASSERT(!fixture.Refused(0).empty());
    const std::size_t refused = fixture.Refused(0).size();
    fixture.mPlatform.SetAway(false);
    fixture.mJournal.Run(seconds(4));
    CPPUNIT_ASSERT_EQUAL(80 - refused, fixture.Committed(0).size());
  });
}

void
Deposals(Section& aSection)
{
  aSection.It("one partition's deposal does not fail the others", [] {
    Fixture fixture;
    fixture.mJournal.Append(0, 1);
    fixture.mJournal.Append(1, 1);
    TakeOver(fixture.mPlatform, 0, "b");
    fixture.mJournal.Run(seconds(1));
    CPPUNIT_ASSERT(fixture.Deposed(0) == Numbers{ 1 });
    CPPUNIT_ASSERT(fixture.Committed(1) == Numbers{ 1 });
    CPPUNIT_ASSERT(fixture.mJournal.AllFailuresSurelyNotWritten());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.Recovered(0));
  });
  aSection.It("a paused node that wakes writes nothing more", [] {
    Fixture fixture;
    fixture.mJournal.Append(0, 1);
    fixture.mJournal.Run(seconds(1));
    TestJournal successor(fixture.mPlatform);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         successor.Acquire(0, "b").mRecords.size());
    successor.Append(0, 2, "new");
    successor.Run(seconds(1));
    fixture.mJournal.Append(0, 2, "stale");
    fixture.mJournal.Run(seconds(1));
    CPPUNIT_ASSERT(fixture.Deposed(0) == Numbers{ 2 });
    const auto records = successor.Recover(0).mRecords;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("new"), records.back().mBytes);
  });
  aSection.It("a row that is there under its key is never overwritten", [] {
    Fixture fixture;
    const std::string key = "log/00000/000000000001/00000000000000000001";
    fixture.mPlatform.Put(key, "foreign");
    fixture.mJournal.Append(0, 1);
    fixture.mJournal.Append(1, 1);
    fixture.mJournal.Run(seconds(1));
    CPPUNIT_ASSERT(fixture.Deposed(0) == Numbers{ 1 });
    CPPUNIT_ASSERT(fixture.Committed(1) == Numbers{ 1 });
    CPPUNIT_ASSERT_EQUAL(std::string("foreign"),
                         fixture.mPlatform.Store().Read(key).mValue);
  });
  aSection.It("a batch that was written before the deposal is committed", [] {
    Fixture fixture;
    fixture.mPlatform.Script({ CommitFate::LoseAnswer });
    fixture.mJournal.Append(0, 1);
    fixture.mPlatform.SetAway(false);
    fixture.mJournal.mLoop.Step(fixture.mJournal.mNow);
    TakeOver(fixture.mPlatform, 0, "b");
    fixture.mJournal.Run(seconds(1));
    CPPUNIT_ASSERT(fixture.Committed(0) == Numbers{ 1 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Recovered(0));
  });
}

void
UncertainDeposals(Section& aSection)
{
  aSection.It("a request lost in the middle of a deposal is unknown, unless "
              "another partition shows that it was not applied",
              [] {
                for (const bool withOther : { false, true }) {
                  Fixture fixture;
                  fixture.mPlatform.Script({ CommitFate::LoseRequest });
                  fixture.mPlatform.mBeforeCommit = [&](const auto&) {
                    fixture.mPlatform.mBeforeCommit = nullptr;
                    TakeOver(fixture.mPlatform, 0, "b");
                  };
                  fixture.mJournal.Append(0, 1);
                  if (withOther) {
                    fixture.mJournal.Append(1, 1);
                  }
                  fixture.mJournal.Run(seconds(1));
                  CPPUNIT_ASSERT(fixture.Deposed(0) == Numbers{ 1 });
                  CPPUNIT_ASSERT_EQUAL(
                    withOther, fixture.mJournal.AllFailuresSurelyNotWritten());
                  CPPUNIT_ASSERT_EQUAL(std::size_t{ withOther ? 1U : 0U },
                                       fixture.Committed(1).size());
                }
              });
  aSection.It("a row written by its owner for another reason is no deposal",
              [] {
                Fixture fixture;
                const auto row = fixture.mPlatform.Store().Read("partitions/0");
                fixture.mPlatform.Put("partitions/0", row.mValue);
                fixture.mJournal.Append(0, 1);
                fixture.mJournal.Run(seconds(1));
                CPPUNIT_ASSERT(fixture.Committed(0) == Numbers{ 1 });
              });
}

void
Closing(Section& aSection)
{
  aSection.It("a flush ends once everything is settled", [] {
    Fixture fixture;
    fixture.mPlatform.Script({ CommitFate::LoseRequest, CommitFate::Refuse });
    fixture.mJournal.Append(0, 1);
    std::size_t committedAtFlush = 0;
    fixture.mJournal.mLoop.Flush(
      [&] { committedAtFlush = fixture.Committed(0).size(); });
    fixture.mJournal.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, committedAtFlush);
  });
  aSection.It("closing reports what is queued, once", [] {
    Fixture fixture;
    fixture.mJournal.Append(0, 1);
    fixture.mJournal.mLoop.Close(PartitionId(0));
    fixture.mJournal.Run(seconds(1));
    CPPUNIT_ASSERT(fixture.Deposed(0) == Numbers{ 1 });
    CPPUNIT_ASSERT(fixture.Committed(0).empty());
  });
}

} // namespace

void
GroupCommitStory(Section& aStory)
{
  aStory.Describe("grouping", Grouping);
  aStory.Describe("when answers are lost", LostAnswers);
  aStory.Describe("when the store is away", Outages);
  aStory.Describe("when the node is deposed", Deposals);
  aStory.Describe("when it cannot know what was written", UncertainDeposals);
  aStory.Describe("closing", Closing);
}

} // namespace oriolevane::journal
