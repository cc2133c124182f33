#include "cellnode/celljournal.h"
#include "cellnode/recordcodec.h"
#include "cellnode/tests/stories.h"

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

// A journal over a store that the test answers by hand.
struct Bench
{
  jobs::RecordLog mLog;
  std::vector<RowTransaction> mSent;
  std::vector<Done> mDone;
  bool mLost = false;
  jobs::RecordPosition mRecorded;
  TimePoint mNow{ 1000s };
  CellJournal mJournal;

  Bench()
    : mJournal(
        {},
        kOwner,
        RowVersion(10),
        mLog,
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
          .mOnLost = [this] { mLost = true; },
          .mNow = [this] { return mNow; },
          .mOnWritten = [](Duration) {} })
  {
    mJournal.SetRenewedAt(mNow);
  }

  jobs::RecordPosition Mark(const std::string& aName)
  {
    return mLog.Mark({ .mKind = jobs::RecordKind::Finished, .mName = aName });
  }
  void Pass(Duration aTime)
  {
    mNow += aTime;
    mJournal.Tick(mNow);
  }
  // Lets a change gather and be sent.
  void SendNext()
  {
    Pass(0ms);
    Pass(20ms);
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
TellChange(Section& aStory)
{
  aStory.Describe("a change", [](Section& aSection) {
    aSection.It("is written on condition of the owner row", [] {
      Bench bench;
      const jobs::RecordPosition position = bench.Mark("job");
      bench.SendNext();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, bench.mSent.size());
      CPPUNIT_ASSERT(bench.mSent[0].mConditions[0].mVersion == RowVersion(10));
      CPPUNIT_ASSERT(bench.mRecorded < position);
      bench.mDone[0](Applied(11));
      CPPUNIT_ASSERT(bench.mRecorded == position);
    });
    aSection.It("waits for the transaction before it", [] {
      Bench bench;
      bench.Mark("first");
      bench.SendNext();
      bench.Mark("second");
      bench.SendNext();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, bench.mSent.size());
      bench.mDone[0](Applied(11));
      bench.SendNext();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, bench.mSent.size());
      CPPUNIT_ASSERT(bench.mSent[1].mConditions[0].mVersion == RowVersion(11));
    });
  });
}

void
TellLostAnswer(Section& aStory)
{
  aStory.Describe("a transaction whose answer is lost", [](Section& aSection) {
    aSection.It("is sent again, the same to the letter", [] {
      Bench bench;
      bench.Mark("job");
      bench.SendNext();
      bench.mDone[0](absl::DeadlineExceededError("lost"));
      bench.Mark("other");
      bench.Pass(1ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, bench.mSent.size());
      CPPUNIT_ASSERT_EQUAL(bench.OwnerText(0), bench.OwnerText(1));
      CPPUNIT_ASSERT_EQUAL(bench.mSent[0].mWrites.size(),
                           bench.mSent[1].mWrites.size());
    });
    aSection.It("counts as written when the owner row shows it", [] {
      Bench bench;
      const jobs::RecordPosition position = bench.Mark("job");
      bench.SendNext();
      bench.mDone[0](absl::DeadlineExceededError("lost"));
      bench.Pass(1ms);
      bench.mDone[1](Conflict(bench.OwnerText(0), 12));
      CPPUNIT_ASSERT(!bench.mLost);
      CPPUNIT_ASSERT(bench.mRecorded == position);
      bench.Mark("next");
      bench.SendNext();
      CPPUNIT_ASSERT(bench.mSent[2].mConditions[0].mVersion == RowVersion(12));
    });
  });
}

void
TellLateAnswer(Section& aStory)
{
  aStory.Describe("a transaction whose answer is late", [](Section& aSection) {
    aSection.It("is sent again beside the first, whose answer counts", [] {
      Bench bench;
      const jobs::RecordPosition position = bench.Mark("job");
      bench.SendNext();
      bench.Pass(400ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, bench.mSent.size());
      CPPUNIT_ASSERT_EQUAL(bench.OwnerText(0), bench.OwnerText(1));
      bench.mDone[0](Applied(11));
      CPPUNIT_ASSERT(bench.mRecorded == position);
      // The second finds the row changed by the first.
      bench.Mark("next");
      bench.SendNext();
      bench.mDone[1](Conflict(bench.OwnerText(0), 11));
      CPPUNIT_ASSERT(!bench.mLost);
      CPPUNIT_ASSERT(bench.mRecorded == position);
      CPPUNIT_ASSERT(bench.mSent[2].mConditions[0].mVersion == RowVersion(11));
    });
    aSection.It("is outstanding from its first call to an answer", [] {
      Bench bench;
      bench.Mark("job");
      bench.SendNext();
      bench.Pass(400ms);
      CPPUNIT_ASSERT(bench.mJournal.Outstanding(bench.mNow) == 400ms);
      bench.mDone[1](Applied(11));
      CPPUNIT_ASSERT(bench.mJournal.Outstanding(bench.mNow) == 0ms);
    });
    aSection.It("is awaited longer once the store is known to be slow", [] {
      Bench bench;
      for (int turn = 0; turn < 8; ++turn) {
        bench.Mark("job" + std::to_string(turn));
        bench.SendNext();
        bench.mNow += 600ms;
        bench.mDone.back()(Applied(11 + static_cast<std::uint64_t>(turn)));
      }
      const std::size_t sent = bench.mSent.size();
      bench.Mark("slow");
      bench.SendNext();
      bench.Pass(600ms);
      CPPUNIT_ASSERT_EQUAL(sent + 1, bench.mSent.size());
      CPPUNIT_ASSERT(bench.mJournal.ExpectedWrite() > 500ms);
    });
    aSection.It("is sent again soon while the store is quick", [] {
      Bench bench;
      for (int turn = 0; turn < 8; ++turn) {
        bench.Mark("job" + std::to_string(turn));
        bench.SendNext();
        bench.mNow += 10ms;
        bench.mDone.back()(Applied(11 + static_cast<std::uint64_t>(turn)));
      }
      const std::size_t sent = bench.mSent.size();
      bench.Mark("lost");
      bench.SendNext();
      bench.Pass(120ms);
      CPPUNIT_ASSERT_EQUAL(sent + 2, bench.mSent.size());
    });
  });
}

void
TellOtherOwner(Section& aStory)
{
  aStory.Describe("an owner row of another node", [](Section& aSection) {
    aSection.It("ends the ownership", [] {
      Bench bench;
      bench.Mark("job");
      bench.SendNext();
      OwnerRow other = kOwner;
      other.mEpoch = Epoch(4);
      bench.mDone[0](Conflict(Encode(other), 12));
      CPPUNIT_ASSERT(bench.mLost);
      CPPUNIT_ASSERT(bench.mRecorded == jobs::RecordPosition());
      bench.SendNext();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, bench.mSent.size());
    });
  });
}

void
TellRenewal(Section& aStory)
{
  aStory.Describe("a journal without changes", [](Section& aSection) {
    aSection.It("renews the owner row", [] {
      Bench bench;
      bench.Pass(100ms);
      CPPUNIT_ASSERT(bench.mSent.empty());
      bench.Pass(250ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, bench.mSent.size());
    });
  });
}

void
TellRelease(Section& aStory)
{
  aStory.Describe("a release", [](Section& aSection) {
    aSection.It("is told only after all changes are written", [] {
      Bench bench;
      bench.Mark("job");
      bench.mJournal.Release();
      bench.SendNext();
      CPPUNIT_ASSERT(!DecodeOwner(bench.OwnerText(0))->mReleased);
      bench.mDone[0](Applied(11));
      bench.SendNext();
      CPPUNIT_ASSERT(DecodeOwner(bench.OwnerText(1))->mReleased);
      bench.mDone[1](Applied(12));
      CPPUNIT_ASSERT(bench.mJournal.IsReleased());
      bench.Mark("late");
      bench.SendNext();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, bench.mSent.size());
    });
  });
}

} // namespace

void
CellJournalStory(Section& aStory)
{
  TellChange(aStory);
  TellLostAnswer(aStory);
  TellLateAnswer(aStory);
  TellOtherOwner(aStory);
  TellRenewal(aStory);
  TellRelease(aStory);
}

} // namespace oriolevane
