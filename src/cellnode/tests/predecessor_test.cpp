#include "cellnode/internal/predecessor.h"

#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;

namespace {

const NodeId kNode("former");
const std::string kAddress = "10.0.0.1:7000";
const std::string kOtherAddress = "10.0.0.2:7000";
const Epoch kEpoch(5);
constexpr std::uint64_t kIncarnation = 1000;

const NodeProcess kOwn{ .mNode = NodeId("own"),
                        .mIncarnation = Incarnation(7),
                        .mAddress = "10.0.0.9:7000" };

OwnerRow
Row()
{
  return { .mEpoch = kEpoch,
           .mNode = kNode,
           .mIncarnation = Incarnation(kIncarnation),
           .mAddress = kAddress,
           .mRecovered = true };
}

NodeProcess
ProcessOf(std::uint64_t aIncarnation, const std::string& aAddress)
{
  return { .mNode = kNode,
           .mIncarnation = Incarnation(aIncarnation),
           .mAddress = aAddress };
}

// A process that was heard of in the predecessor's epoch and owns nothing.
LinkedProcess
Linked(std::uint64_t aIncarnation, const std::string& aAddress)
{
  return { .mProcess = ProcessOf(aIncarnation, aAddress),
           .mLeftEpoch = kEpoch,
           .mSeenInEpoch = kEpoch };
}

void
DescribeOwnerRow(Section& aRoot)
{
  aRoot.Describe("the owner row of the predecessor", [](Section& aSection) {
    aSection.It("says so when there was none", [] {
      CPPUNIT_ASSERT(IsPredecessorGone(std::nullopt, kOwn, std::nullopt));
    });
    aSection.It("says so when the shard was released", [] {
      OwnerRow row = Row();
      row.mReleased = true;
      CPPUNIT_ASSERT(IsPredecessorGone(row, kOwn, std::nullopt));
    });
    aSection.It("is no proof by itself", [] {
      CPPUNIT_ASSERT(!IsPredecessorGone(Row(), kOwn, std::nullopt));
    });
    // Guards against a wait for the predecessor only, while the owner before it
    // goes on.
    aSection.It("is no proof when its recovery had not finished", [] {
      OwnerRow row = Row();
      row.mReleased = true;
      row.mRecovered = false;
      CPPUNIT_ASSERT(!IsPredecessorGone(row,
                                        ProcessOf(kIncarnation + 1, kAddress),
                                        Linked(kIncarnation + 1, kAddress)));
    });
    // Guards against review/9: a wait that began anew with each owner of a
    // series, none of which finished its recovery.
    aSection.It("says so when a release follows other owners' ends", [] {
      OwnerRow row = Row();
      row.mReleased = true;
      row.mRecovered = false;
      row.mEarlierOwnersGone = true;
      CPPUNIT_ASSERT(IsPredecessorGone(row, kOwn, std::nullopt));
    });
  });
}

// Guards against a former process that goes on, paused or cut off, while its
// node runs again.
void
DescribeOwnName(Section& aRoot)
{
  aRoot.Describe(
    "a predecessor with the own node's name", [](Section& aSection) {
      aSection.It("is gone when this process listens on its address", [] {
        const NodeProcess own = ProcessOf(kIncarnation + 1, kAddress);
        CPPUNIT_ASSERT(IsPredecessorGone(Row(), own, std::nullopt));
      });
      aSection.It("is gone also when the clock was set back", [] {
        const NodeProcess own = ProcessOf(kIncarnation - 1, kAddress);
        CPPUNIT_ASSERT(IsPredecessorGone(Row(), own, std::nullopt));
      });
      aSection.It("may go on when this process listens on another address", [] {
        const NodeProcess own = ProcessOf(kIncarnation + 1, kOtherAddress);
        CPPUNIT_ASSERT(!IsPredecessorGone(Row(), own, std::nullopt));
      });
      aSection.It("is gone when it is this process, whose session has ended",
                  [] {
                    const NodeProcess own = ProcessOf(kIncarnation, kAddress);
                    CPPUNIT_ASSERT(IsPredecessorGone(Row(), own, std::nullopt));
                  });
    });
}

void
DescribeLinkedProcess(Section& aRoot)
{
  aRoot.Describe(
    "a process with the predecessor's name", [](Section& aSection) {
      aSection.It("proves it when it is a later one at the same address", [] {
        CPPUNIT_ASSERT(
          IsPredecessorGone(Row(), kOwn, Linked(kIncarnation + 1, kAddress)));
      });
      aSection.It("proves it also when the clock was set back", [] {
        CPPUNIT_ASSERT(
          IsPredecessorGone(Row(), kOwn, Linked(kIncarnation - 1, kAddress)));
      });
      aSection.It("proves nothing at another address", [] {
        CPPUNIT_ASSERT(!IsPredecessorGone(
          Row(), kOwn, Linked(kIncarnation + 1, kOtherAddress)));
      });
      // The clock was set back, so the earlier process has the higher
      // incarnation. Its link has not been closed yet.
      aSection.It("proves nothing when it was there before the predecessor",
                  [] {
                    LinkedProcess older = Linked(kIncarnation + 1, kAddress);
                    older.mLeftEpoch = Epoch();
                    older.mSeenInEpoch = Epoch(kEpoch.mValue - 1);
                    CPPUNIT_ASSERT(!IsPredecessorGone(Row(), kOwn, older));
                    older.mProcess.mAddress = kOtherAddress;
                    CPPUNIT_ASSERT(!IsPredecessorGone(Row(), kOwn, older));
                  });
      aSection.It("says for itself that it knows a later epoch", [] {
        LinkedProcess former = Linked(kIncarnation, kAddress);
        CPPUNIT_ASSERT(IsPredecessorGone(Row(), kOwn, former));
        former.mLeftEpoch = Epoch(kEpoch.mValue - 1);
        CPPUNIT_ASSERT(!IsPredecessorGone(Row(), kOwn, former));
      });
      aSection.It("does not say it for another process", [] {
        CPPUNIT_ASSERT(!IsPredecessorGone(
          Row(), kOwn, Linked(kIncarnation - 1, kOtherAddress)));
      });
    });
}

} // namespace

void
PredecessorTests(Section& aRoot)
{
  DescribeOwnerRow(aRoot);
  DescribeOwnName(aRoot);
  DescribeLinkedProcess(aRoot);
}

} // namespace oriolevane
