#include "journal/snapshotloop.h"

#include "journal/tests/stories.h"
#include "journal/tests/testjournal.h"

namespace oriolevane::journal {

using standins::CommitFate;
using standins::ScriptedPlatform;
using std::chrono::seconds;
using testing::Section;

namespace {

// Journal and snapshot loop joined as the threads join them.
struct Fixture
{
  ScriptedPlatform mPlatform;
  TestJournal mJournal{ mPlatform };
  std::vector<SnapshotOutcome> mOutcomes;
  SnapshotLoop mSnapshots{ { .mDeletedRows = 3 },
                           mPlatform.Table(),
                           mPlatform.Objects(),
                           { .mOnStored =
                               [this](const SnapshotId& aId) { Point(aId); },
                             .mOnFailed =
                               [this](const SnapshotOutcome& aOutcome) {
                                 mOutcomes.push_back(aOutcome);
                               } } };

  Fixture()
  {
    mJournal.Acquire(0);
    Write(1, 8);
  }
  void Point(const SnapshotId& aId)
  {
    mJournal.mLoop.PointAtSnapshot(aId, [this, aId](const auto& aOutcome) {
      mOutcomes.push_back({ aId, aOutcome.mStatus });
      if (aOutcome.mStatus.ok()) {
        mSnapshots.CleanUp(
          aId, aOutcome.mReplaced ? aOutcome.mReplaced->mObject : "");
      } else if (aOutcome.mUnreferenced) {
        mSnapshots.Discard(aId);
      }
    });
  }
  void Write(std::uint64_t aFirst, std::uint64_t aLast)
  {
    for (std::uint64_t sequence = aFirst; sequence <= aLast; ++sequence) {
      mJournal.Append(0, sequence);
      mJournal.Run(seconds(1));
    }
  }
  void Save(std::uint64_t aSequence, Epoch aEpoch = Epoch(1))
  {
    mSnapshots.Upload({ { PartitionId(0), aEpoch, aSequence },
                        "state " + std::to_string(aSequence) });
    Run();
  }
  void Run()
  {
    for (int round = 0; round < 30; ++round) {
      mSnapshots.Step(mJournal.mNow);
      mJournal.Run(seconds(1));
    }
  }
  std::size_t LogRows() { return mPlatform.Store().Dump("log/").size(); }
};

} // namespace

void
SnapshotStory(Section& aStory)
{
  aStory.It("cut the log and recover with what follows", [] {
    Fixture fixture;
    fixture.Save(6);
    CPPUNIT_ASSERT(fixture.mOutcomes.back().mStatus.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.LogRows());
    fixture.Write(9, 9);
    const auto recovered = fixture.mJournal.Recover(0);
    CPPUNIT_ASSERT_EQUAL(std::string("state 6"), *recovered.mSnapshot);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, recovered.mRecords.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 },
                         recovered.mRecords.front().mSequence);
  });
  aStory.It("are pointed at while records keep coming", [] {
    Fixture fixture;
    fixture.mSnapshots.Upload({ { PartitionId(0), Epoch(1), 6 }, "state" });
    fixture.mSnapshots.Step(fixture.mJournal.mNow);
    for (std::uint64_t sequence = 9; sequence < 500; ++sequence) {
      fixture.mJournal.Append(0, sequence);
      fixture.mJournal.Run(std::chrono::milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mOutcomes.size());
  });
  aStory.It("replace the one before, also over epochs", [] {
    Fixture fixture;
    fixture.Save(6);
    fixture.mJournal.Acquire(0, "b");
    fixture.Write(9, 10);
    fixture.Save(9, Epoch(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.LogRows());
    const auto recovered = fixture.mJournal.Acquire(0, "c");
    CPPUNIT_ASSERT_EQUAL(std::string("state 9"), *recovered.mSnapshot);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, recovered.mRecords.size());
    const auto old = fixture.mPlatform.ObjectsStore().Fetch(
      "snapshots/00000/000000000001/00000000000000000006");
    CPPUNIT_ASSERT(!old.has_value());
  });
  aStory.It("survive a lost answer when the row is pointed at them", [] {
    Fixture fixture;
    fixture.mPlatform.Script({ CommitFate::LoseAnswer });
    fixture.Save(6);
    CPPUNIT_ASSERT(fixture.mOutcomes.back().mStatus.ok());
    fixture.Write(9, 9);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 },
                         fixture.mJournal.Recover(0).mLastSequence);
  });
  aStory.It("of a deposed owner are discarded, the log stays", [] {
    Fixture fixture;
    TakeOver(fixture.mPlatform, 0, "b");
    fixture.Save(6);
    CPPUNIT_ASSERT(!fixture.mOutcomes.back().mStatus.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 },
                         fixture.mJournal.Recover(0).mRecords.size());
  });
  aStory.It("at a sequence that is not committed are refused", [] {
    Fixture fixture;
    fixture.Save(9);
    CPPUNIT_ASSERT(!fixture.mOutcomes.back().mStatus.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, fixture.LogRows());
  });
  aStory.It("are given up after some tries while the store is away", [] {
    Fixture fixture;
    fixture.mPlatform.SetAway(true);
    fixture.Save(6);
    CPPUNIT_ASSERT(absl::IsUnavailable(fixture.mOutcomes.back().mStatus));
    fixture.mPlatform.SetAway(false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 },
                         fixture.mJournal.Recover(0).mRecords.size());
  });
}

} // namespace oriolevane::journal
