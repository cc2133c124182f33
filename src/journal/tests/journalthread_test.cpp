#include "journal/journal.h"

#include <future>

#include "journal/tests/stories.h"
#include "journal/tests/testjournal.h"

namespace oriolevane::journal {

using testing::Section;

void
JournalThreadStory(Section& aStory)
{
  aStory.It("refuse appends that they have no room for", [] {
    standins::ScriptedPlatform platform;
    Journal journal({ .mRingCapacity = 2, .mRingBytes = 10 },
                    platform.Table(),
                    platform.Objects(),
                    {});
    const PartitionId partition(0);
    CPPUNIT_ASSERT(absl::IsResourceExhausted(
      journal.Append(partition, 1, std::string(11, 'x'))));
    CPPUNIT_ASSERT(journal.Append(partition, 2, "x").ok());
    CPPUNIT_ASSERT(journal.Append(partition, 3, "x").ok());
    CPPUNIT_ASSERT(
      absl::IsResourceExhausted(journal.Append(partition, 4, "x")));
  });
  aStory.It("commit, flush, save a snapshot and recover", [] {
    standins::ScriptedPlatform platform;
    TakeOver(platform, 0, "a");
    std::promise<AppendOutcome> committed;
    std::promise<SnapshotOutcome> saved;
    Journal journal(
      {},
      platform.Table(),
      platform.Objects(),
      { .mOnOutcome =
          [&](const AppendOutcome& aOutcome) { committed.set_value(aOutcome); },
        .mOnSnapshot =
          [&](const SnapshotOutcome& aOutcome) {
            saved.set_value(aOutcome);
          } });
    journal.Start();
    const auto recovered = journal.Recover(PartitionId(0));
    CPPUNIT_ASSERT(recovered.ok());
    CPPUNIT_ASSERT(journal
                     .Open({ .mPartition = PartitionId(0),
                             .mEpoch = recovered->mEpoch,
                             .mRowVersion = recovered->mRowVersion })
                     .ok());
    CPPUNIT_ASSERT(journal.Append(PartitionId(0), 1, "one").ok());
    const AppendOutcome outcome = committed.get_future().get();
    CPPUNIT_ASSERT(outcome.mResult == AppendResult::Committed);
    std::promise<void> flushed;
    CPPUNIT_ASSERT(journal.Flush([&] { flushed.set_value(); }).ok());
    flushed.get_future().get();
    CPPUNIT_ASSERT(
      journal.SaveSnapshot(PartitionId(0), recovered->mEpoch, 1, "s").ok());
    CPPUNIT_ASSERT(saved.get_future().get().mStatus.ok());
    journal.Stop();
    CPPUNIT_ASSERT(journal.Append(PartitionId(0), 2, "two").code() ==
                   absl::StatusCode::kFailedPrecondition);
    const auto again = journal.Recover(PartitionId(0));
    CPPUNIT_ASSERT_EQUAL(std::string("s"), *again->mSnapshot);
    CPPUNIT_ASSERT(again->mRecords.empty());
  });
}

} // namespace oriolevane::journal
