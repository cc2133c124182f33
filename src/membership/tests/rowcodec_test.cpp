#include "membership/rowcodec.h"

#include "membership/tests/stories.h"

namespace oriolevane::membership {

using testing::Section;

void
RowCodecStory(Section& aStory)
{
  aStory.It("rows come back as they were written", [] {
    const NodeRow node{ .mNode = NodeId("n1"),
                        .mIncarnation = Incarnation(7),
                        .mAddress = "127.0.0.1:9",
                        .mZone = ZoneId("kef"),
                        .mRenewals = 3,
                        .mLeaving = true };
    CPPUNIT_ASSERT(*ParseNodeRow("nodes/n1", EncodeNodeRow(node)) == node);
    const OwnershipRow row{ .mEpoch = Epoch(5),
                            .mOwner = NodeId("n1"),
                            .mOwnerIncarnation = Incarnation(7),
                            .mLogFromEpoch = Epoch(4),
                            .mSnapshot =
                              SnapshotReference{ "snapshots/0/4/9", 9 } };
    CPPUNIT_ASSERT(*ParseOwnershipRow(EncodeOwnershipRow(row)) == row);
  });
  aStory.It("keys name their rows and nothing else", [] {
    const RowRef shard{ RowKind::Shard, 7 };
    CPPUNIT_ASSERT(*ParseOwnershipRowKey(OwnershipRowKey(shard)) == shard);
    for (const char* key :
         { "shards/", "shards/-1", "shards/07", "shards/99999999999", "x/1" }) {
      CPPUNIT_ASSERT(!ParseOwnershipRowKey(key).ok());
    }
  });
  aStory.It("torn and wrong values give data loss, never a crash", [] {
    for (const char* value : { "",
                               "{",
                               "[]",
                               "null",
                               "{\"epoch\":\"1\"}",
                               "{\"epoch\":0,\"owner\":\"\",\"incarnation\":0,"
                               "\"log_from_epoch\":0}",
                               "{\"epoch\":1,\"owner\":\"\",\"incarnation\":0,"
                               "\"log_from_epoch\":2}",
                               "{\"epoch\":1,\"owner\":\"\",\"incarnation\":-1,"
                               "\"log_from_epoch\":1}",
                               "{\"epoch\":1,\"owner\":\"\",\"incarnation\":0,"
                               "\"log_from_epoch\":1,\"snapshot\":3}" }) {
      CPPUNIT_ASSERT(absl::IsDataLoss(ParseOwnershipRow(value).status()));
      CPPUNIT_ASSERT(absl::IsDataLoss(ParseNodeRow("nodes/a", value).status()));
    }
  });
}

} // namespace oriolevane::membership
