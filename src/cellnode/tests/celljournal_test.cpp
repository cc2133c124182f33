#include "cellnode/celljournal.h"
#include "cellnode/recordcodec.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

using Done = std::function<void(absl::StatusOr<CommitAnswer>)>;

const OwnerRow kOwner{ .mEpoch = Epoch(3),
                       .mNode = NodeId("node"),
                       .mIncarnation = Incarnation(7),
                       .mAddress = "10.0.0.1:7000" };

// Runs a journal on a store whose answers the test gives one by one.
struct Fixture
{
  jobs::RecordWriteQueue mWriteQueue;
  std::vector<RowTransaction> mSent;
  std::vector<Done> mDone;
  bool mLost = false;
  jobs::RecordPosition mRecorded;
  TimePoint mNow{ 1000s };
  CellJournal mJournal;

  Fixture()
    : mJournal(
        {},
        kOwner,
        RowVersion(10),
        mWriteQueue,
        { .mCommit =
            [this](const RowTransaction& aTransaction, Duration, Done aDone) {
              mSent.push_back(aTransaction);
              mDone.push_back(std::move(aDone));
            },
          .mValueOf =
            [](const jobs::RecordKey& aKey) {
              return jobs::RecordValue(
                jobs::FinishedRecord{ .mId = jobs::JobId(aKey.mName) });
            },
          .mOnRecorded =
            [this](jobs::RecordPosition aPosition) { mRecorded = aPosition; },
          .mOnOwnershipLost = [this] { mLost = true; },
          .mNow = [this] { return mNow; },
          .mOnCommitted = [](Duration) {} })
  {
    mJournal.SetRenewedAt(mNow);
  }

  jobs::RecordPosition Mark(const std::string& aName)
  {
    return mWriteQueue.Mark(
      { .mKind = jobs::RecordKind::Finished, .mName = aName });
  }
  void AdvanceClock(Duration aTime)
  {
    mNow += aTime;
    mJournal.Tick(mNow);
  }
  // Lets the batch delay pass, so that a change is sent.
  void SendNext()
  {
    AdvanceClock(0ms);
    AdvanceClock(20ms);
  }
  std::string OwnerText(std::size_t aPlace) const
  {
    return mSent[aPlace].mWrites.back().mValue;
  }
};

CommitAnswer
Applied(std::uint64_t aVersion)
{
  return { .mApplied = true, .mVersion = RowVersion(aVersion) };
}

CommitAnswer
Conflict(const std::string& aOwnerText, std::uint64_t aVersion)
{
  return { .mApplied = false,
           .mVersion = {},
           .mCurrent = { { .mKey = CellJournal::OwnerKey("s0"),
                           .mValue = aOwnerText,
                           .mVersion = RowVersion(aVersion) } } };
}

void
TestChange(Section& aRoot)
{
  aRoot.Describe("a change", [](Section& aSection) {
    aSection.It("is written on condition of the owner row", [] {
      Fixture fixture;
      const jobs::RecordPosition position = fixture.Mark("job");
      fixture.SendNext();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mSent.size());
      CPPUNIT_ASSERT(fixture.mSent[0].mConditions[0].mVersion ==
                     RowVersion(10));
      CPPUNIT_ASSERT(fixture.mRecorded < position);
      fixture.mDone[0](Applied(11));
      CPPUNIT_ASSERT(fixture.mRecorded == position);
    });
    // Guards against a shard that can write nothing any more.
    aSection.It("that no row can hold does not hold up the others", [] {
      Fixture fixture;
      fixture.Mark(std::string(kMaxStoredRowBytes, 'x'));
      fixture.Mark("job");
      fixture.SendNext();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mSent.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mSent[0].mWrites.size());
      CPPUNIT_ASSERT_EQUAL(std::string("job"),
                           fixture.mSent[0].mWrites[0].mKey.mName);
    });
    aSection.It("waits for the transaction before it", [] {
      Fixture fixture;
      fixture.Mark("first");
      fixture.SendNext();
      fixture.Mark("second");
      fixture.SendNext();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mSent.size());
      fixture.mDone[0](Applied(11));
      fixture.SendNext();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mSent.size());
      CPPUNIT_ASSERT(fixture.mSent[1].mConditions[0].mVersion ==
                     RowVersion(11));
    });
  });
}

void
TestLostAnswer(Section& aRoot)
{
  aRoot.Describe("a transaction whose answer is lost", [](Section& aSection) {
    aSection.It("is sent again unchanged", [] {
      Fixture fixture;
      fixture.Mark("job");
      fixture.SendNext();
      fixture.mDone[0](absl::DeadlineExceededError("lost"));
      fixture.Mark("other");
      fixture.AdvanceClock(1ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mSent.size());
      CPPUNIT_ASSERT_EQUAL(fixture.OwnerText(0), fixture.OwnerText(1));
      CPPUNIT_ASSERT_EQUAL(fixture.mSent[0].mWrites.size(),
                           fixture.mSent[1].mWrites.size());
    });
    aSection.It("counts as written when the owner row matches it", [] {
      Fixture fixture;
      const jobs::RecordPosition position = fixture.Mark("job");
      fixture.SendNext();
      fixture.mDone[0](absl::DeadlineExceededError("lost"));
      fixture.AdvanceClock(1ms);
      fixture.mDone[1](Conflict(fixture.OwnerText(0), 12));
      CPPUNIT_ASSERT(!fixture.mLost);
      CPPUNIT_ASSERT(fixture.mRecorded == position);
      fixture.Mark("next");
      fixture.SendNext();
      CPPUNIT_ASSERT(fixture.mSent[2].mConditions[0].mVersion ==
                     RowVersion(12));
    });
  });
}

void
TestLateAnswer(Section& aRoot)
{
  aRoot.Describe("a transaction whose answer is late", [](Section& aSection) {
    aSection.It("is sent again, and an answer to the first call counts", [] {
      Fixture fixture;
      const jobs::RecordPosition position = fixture.Mark("job");
      fixture.SendNext();
      fixture.AdvanceClock(400ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mSent.size());
      CPPUNIT_ASSERT_EQUAL(fixture.OwnerText(0), fixture.OwnerText(1));
      fixture.mDone[0](Applied(11));
      CPPUNIT_ASSERT(fixture.mRecorded == position);
      // The second call finds the owner row already changed by the first.
      fixture.Mark("next");
      fixture.SendNext();
      fixture.mDone[1](Conflict(fixture.OwnerText(0), 11));
      CPPUNIT_ASSERT(!fixture.mLost);
      CPPUNIT_ASSERT(fixture.mRecorded == position);
      CPPUNIT_ASSERT(fixture.mSent[2].mConditions[0].mVersion ==
                     RowVersion(11));
    });
    aSection.It("is outstanding from its first call to an answer", [] {
      Fixture fixture;
      fixture.Mark("job");
      fixture.SendNext();
      fixture.AdvanceClock(400ms);
      CPPUNIT_ASSERT(fixture.mJournal.OutstandingTime(fixture.mNow) == 400ms);
      fixture.mDone[1](Applied(11));
      CPPUNIT_ASSERT(fixture.mJournal.OutstandingTime(fixture.mNow) == 0ms);
    });
    aSection.It("is sent again later when the store is known to be slow", [] {
      Fixture fixture;
      for (int round = 0; round < 8; ++round) {
        fixture.Mark("job" + std::to_string(round));
        fixture.SendNext();
        fixture.mNow += 600ms;
        fixture.mDone.back()(Applied(11 + static_cast<std::uint64_t>(round)));
      }
      const std::size_t sent = fixture.mSent.size();
      fixture.Mark("slow");
      fixture.SendNext();
      fixture.AdvanceClock(600ms);
      CPPUNIT_ASSERT_EQUAL(sent + 1, fixture.mSent.size());
      CPPUNIT_ASSERT(fixture.mJournal.ExpectedCommitTime() > 500ms);
    });
    aSection.It("is sent again soon when the store is fast", [] {
      Fixture fixture;
      for (int round = 0; round < 8; ++round) {
        fixture.Mark("job" + std::to_string(round));
        fixture.SendNext();
        fixture.mNow += 10ms;
        fixture.mDone.back()(Applied(11 + static_cast<std::uint64_t>(round)));
      }
      const std::size_t sent = fixture.mSent.size();
      fixture.Mark("lost");
      fixture.SendNext();
      fixture.AdvanceClock(120ms);
      CPPUNIT_ASSERT_EQUAL(sent + 2, fixture.mSent.size());
    });
    // Guards against an owner that waits for longer than it may own the shard
    // before it sends a lost transaction again.
    aSection.It("is sent again soon after the machine was suspended", [] {
      Fixture fixture;
      for (int round = 0; round < 8; ++round) {
        fixture.Mark("job" + std::to_string(round));
        fixture.SendNext();
        fixture.mNow += round == 7 ? Duration(10s) : Duration(10ms);
        fixture.mDone.back()(Applied(11 + static_cast<std::uint64_t>(round)));
      }
      const std::size_t sent = fixture.mSent.size();
      fixture.Mark("lost");
      fixture.SendNext();
      fixture.AdvanceClock(120ms);
      CPPUNIT_ASSERT_EQUAL(sent + 2, fixture.mSent.size());
      CPPUNIT_ASSERT(fixture.mJournal.ExpectedCommitTime() < 1s);
    });
  });
}

void
TestOtherOwner(Section& aRoot)
{
  aRoot.Describe("an owner row of another node", [](Section& aSection) {
    aSection.It("ends the ownership", [] {
      Fixture fixture;
      fixture.Mark("job");
      fixture.SendNext();
      OwnerRow other = kOwner;
      other.mEpoch = Epoch(4);
      fixture.mDone[0](Conflict(Encode(other), 12));
      CPPUNIT_ASSERT(fixture.mLost);
      CPPUNIT_ASSERT(fixture.mRecorded == jobs::RecordPosition());
      fixture.SendNext();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mSent.size());
    });
  });
}

void
TestRenewal(Section& aRoot)
{
  aRoot.Describe("a journal without changes", [](Section& aSection) {
    aSection.It("renews the owner row", [] {
      Fixture fixture;
      fixture.AdvanceClock(100ms);
      CPPUNIT_ASSERT(fixture.mSent.empty());
      fixture.AdvanceClock(250ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mSent.size());
    });
  });
}

void
TestRelease(Section& aRoot)
{
  aRoot.Describe("a release", [](Section& aSection) {
    aSection.It("is written only after all changes", [] {
      Fixture fixture;
      fixture.Mark("job");
      fixture.mJournal.Release();
      fixture.SendNext();
      CPPUNIT_ASSERT(!DecodeOwner(fixture.OwnerText(0))->mReleased);
      fixture.mDone[0](Applied(11));
      fixture.SendNext();
      CPPUNIT_ASSERT(DecodeOwner(fixture.OwnerText(1))->mReleased);
      fixture.mDone[1](Applied(12));
      CPPUNIT_ASSERT(fixture.mJournal.IsReleased());
      fixture.Mark("late");
      fixture.SendNext();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mSent.size());
    });
  });
}

} // namespace

void
CellJournalTests(Section& aRoot)
{
  TestChange(aRoot);
  TestLostAnswer(aRoot);
  TestLateAnswer(aRoot);
  TestOtherOwner(aRoot);
  TestRenewal(aRoot);
  TestRelease(aRoot);
}

} // namespace oriolevane
