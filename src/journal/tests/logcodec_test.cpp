#include "journal/logcodec.h"

#include <random>

#include "journal/tests/stories.h"

namespace oriolevane::journal {

using testing::Section;

void
LogCodecStory(Section& aStory)
{
  const LogBatch batch{ .mPreviousSequence = 4,
                        .mRecords = { { 5, "five" }, { 7, "" } } };
  aStory.It("come back as they were written", [batch] {
    CPPUNIT_ASSERT(*ParseLogBatch(EncodeLogBatch(batch)) == batch);
    const LogRowKey key{ PartitionId(3), Epoch(9), 77 };
    CPPUNIT_ASSERT(*ParseLogRowKey(EncodeLogRowKey(key)) == key);
  });
  aStory.It("have keys in the order of epochs and sequences", [] {
    const std::string low = EncodeLogRowKey({ PartitionId(3), Epoch(9), 100 });
    const std::string high = EncodeLogRowKey({ PartitionId(3), Epoch(10), 2 });
    CPPUNIT_ASSERT(low < high);
    CPPUNIT_ASSERT(low < LogEpochStart(PartitionId(3), Epoch(10)));
    CPPUNIT_ASSERT(LogEpochStart(PartitionId(3), Epoch(10)) < high);
  });
  aStory.It("are data loss when cut or changed anywhere", [batch] {
    const std::string bytes = EncodeLogBatch(batch);
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      CPPUNIT_ASSERT(
        absl::IsDataLoss(ParseLogBatch(bytes.substr(0, at)).status()));
      std::string changed = bytes;
      changed[at] = static_cast<char>(changed[at] ^ 0x40);
      CPPUNIT_ASSERT(absl::IsDataLoss(ParseLogBatch(changed).status()));
    }
  });
  aStory.It("are data loss when they hold random bytes", [] {
    std::mt19937_64 random(7);
    for (int round = 0; round < 2000; ++round) {
      std::string bytes(random() % 80, '\0');
      for (char& byte : bytes) {
        byte = static_cast<char>(random());
      }
      CPPUNIT_ASSERT(!ParseLogBatch(bytes).ok());
      CPPUNIT_ASSERT(!ParseLogRowKey(bytes).ok());
    }
  });
}

} // namespace oriolevane::journal
