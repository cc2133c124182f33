#include "journal/recovery.h"

#include "journal/logcodec.h"
#include "journal/tests/stories.h"
#include "journal/tests/testjournal.h"
#include "membership/rowcodec.h"

namespace oriolevane::journal {

using standins::ScriptedPlatform;
using std::chrono::seconds;
using testing::Section;

namespace {

const std::string kRow = "partitions/0";

absl::Status
RecoveryError(ScriptedPlatform& aPlatform)
{
  return RecoverPartition(
           aPlatform.Table(), aPlatform.Objects(), PartitionId(0))
    .status();
}

// Five records in three epochs, two owners.
void
WriteThreeEpochs(ScriptedPlatform& aPlatform)
{
  std::uint64_t sequence = 0;
  for (const char* owner : { "a", "b", "a" }) {
    TestJournal journal(aPlatform);
    journal.Acquire(0, owner);
    journal.Append(0, ++sequence);
    journal.Run(seconds(1));
    journal.Append(0, ++sequence);
    journal.Run(seconds(1));
  }
}

std::string
SomeLogKey(ScriptedPlatform& aPlatform, std::size_t aAt)
{
  return aPlatform.Store().Dump("log/").at(aAt).mKey;
}

void
Chain(Section& aSection)
{
  aSection.It("gives the records of all epochs in order", [] {
    ScriptedPlatform platform;
    WriteThreeEpochs(platform);
    TestJournal successor(platform);
    const auto recovered = successor.Acquire(0, "c");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, recovered.mEpoch.mValue);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, recovered.mRecords.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 6 }, recovered.mLastSequence);
    for (std::size_t at = 0; at < 6; ++at) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ at + 1 },
                           recovered.mRecords[at].mSequence);
    }
  });
  aSection.It("skips epochs whose owner wrote nothing", [] {
    ScriptedPlatform platform;
    WriteThreeEpochs(platform);
    TakeOver(platform, 0, "c");
    TakeOver(platform, 0, "d");
    TestJournal successor(platform);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 },
                         successor.Acquire(0).mRecords.size());
  });
  aSection.It("reads a log of many pages", [] {
    ScriptedPlatform platform;
    TestJournal journal(platform);
    journal.Acquire(0);
    const std::string large(60'000, 'x');
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
      journal.Append(0, sequence, large);
    }
    journal.Run(seconds(2));
    const auto recovered = RecoverPartition(
      platform.Table(), platform.Objects(), PartitionId(0), { .mPageRows = 3 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 20 }, recovered->mRecords.size());
  });
}

void
Damage(Section& aSection)
{
  aSection.It("a torn log row is data loss and names the row", [] {
    ScriptedPlatform platform;
    WriteThreeEpochs(platform);
    const std::string key = SomeLogKey(platform, 2);
    const std::string value = platform.Store().Read(key).mValue;
    platform.Put(key, value.substr(0, value.size() - 3));
    const absl::Status status = RecoveryError(platform);
    CPPUNIT_ASSERT(absl::IsDataLoss(status));
    CPPUNIT_ASSERT(std::string(status.message()).find(key) !=
                   std::string::npos);
  });
  aSection.It("a missing log row is data loss", [] {
    ScriptedPlatform platform;
    WriteThreeEpochs(platform);
    const std::string key = SomeLogKey(platform, 2);
    CPPUNIT_ASSERT(platform.Table()
                     .mCommit({ .mMutations = { { key, std::nullopt } } })
                     .ok());
    CPPUNIT_ASSERT(absl::IsDataLoss(RecoveryError(platform)));
  });
  aSection.It("a foreign key in the log is data loss", [] {
    ScriptedPlatform platform;
    WriteThreeEpochs(platform);
    platform.Put("log/00000/zzz", "x");
    CPPUNIT_ASSERT(absl::IsDataLoss(RecoveryError(platform)));
  });
  aSection.It("a missing or unreadable partition row is said so", [] {
    ScriptedPlatform platform;
    CPPUNIT_ASSERT(absl::IsNotFound(RecoveryError(platform)));
    platform.Put(kRow, "{");
    CPPUNIT_ASSERT(absl::IsDataLoss(RecoveryError(platform)));
  });
  aSection.It("a missing snapshot is data loss, an outage is not", [] {
    ScriptedPlatform platform;
    platform.Put(
      kRow,
      membership::EncodeOwnershipRow(
        { .mEpoch = Epoch(1),
          .mOwner = NodeId("a"),
          .mLogFromEpoch = Epoch(1),
          .mSnapshot = membership::SnapshotReference{ "gone", 4 } }));
    CPPUNIT_ASSERT(absl::IsDataLoss(RecoveryError(platform)));
    platform.SetAway(true);
    CPPUNIT_ASSERT(absl::IsUnavailable(RecoveryError(platform)));
  });
}

} // namespace

void
RecoveryStory(Section& aStory)
{
  aStory.Describe("over a chain of epochs", Chain);
  aStory.Describe("of damaged state", Damage);
}

} // namespace oriolevane::journal
