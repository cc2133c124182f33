#include <algorithm>
#include <set>

#include "membership/ownerassignment.h"
#include "membership/rowcodec.h"
#include "membership/tests/stories.h"
#include "membership/tests/testcluster.h"

namespace oriolevane::membership {

using standins::CommitFate;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Section;

namespace {

constexpr std::size_t kRows = TestCluster::kPartitions + TestCluster::kShards;

std::vector<NodeId>
Names(int aCount)
{
  std::vector<NodeId> names;
  names.reserve(static_cast<std::size_t>(aCount));
  for (int at = 0; at < aCount; ++at) {
    names.emplace_back("node-" + std::to_string(at));
  }
  return names;
}

void
Assignment(Section& aSection)
{
  aSection.It("gives no node more than 5/4 of its share", [] {
    const auto owners = AssignOwners(RowKind::Partition, 64, Names(8));
    for (const NodeId& node : Names(8)) {
      CPPUNIT_ASSERT(std::count(owners.begin(), owners.end(), node) <= 10);
    }
  });
  aSection.It("moves few rows when a node goes", [] {
    const auto before = AssignOwners(RowKind::Partition, 64, Names(8));
    const auto after = AssignOwners(RowKind::Partition, 64, Names(7));
    int moved = 0;
    for (std::size_t at = 0; at < before.size(); ++at) {
      const bool orphan = before[at] == NodeId("node-7");
      moved += !orphan && before[at] != after[at] ? 1 : 0;
    }
    CPPUNIT_ASSERT(moved <= 16);
  });
}

void
Start(Section& aSection)
{
  aSection.It("one node takes everything within a few rounds", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Run(seconds(6));
    CPPUNIT_ASSERT_EQUAL(kRows, cluster.At("a").mOwned.size());
    CPPUNIT_ASSERT_EQUAL(Epoch(1).mValue,
                         cluster.At("a").mOwned.begin()->second.mValue);
  });
  aSection.It("nodes that join get rows by hand-over, none by force", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Run(seconds(6));
    cluster.Add("b");
    cluster.Add("c");
    cluster.Run(seconds(60));
    CPPUNIT_ASSERT_EQUAL(kRows, cluster.RowsWithOneOwner());
    CPPUNIT_ASSERT(cluster.At("a").mDeposed.empty());
    CPPUNIT_ASSERT(!cluster.At("b").mOwned.empty());
    CPPUNIT_ASSERT(!cluster.At("c").mOwned.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, cluster.At("b").mMembers.size());
  });
  aSection.It("a node that has only just joined is handed nothing yet", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Run(seconds(6));
    cluster.Add("b");
    cluster.Run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(kRows, cluster.At("a").mOwned.size());
  });
  aSection.It("two nodes that race for one row: one of them gets it", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Add("b");
    const std::string key = PartitionRowKey(PartitionId(0));
    bool raced = false;
    cluster.mPlatform.mBeforeCommit = [&](const auto& aTransaction) {
      const bool takes = aTransaction.mMutations.front().mKey == key;
      if (takes && !std::exchange(raced, true)) {
        cluster.mPlatform.Put(
          key,
          EncodeOwnershipRow({ .mEpoch = Epoch(1),
                               .mOwner = NodeId("b"),
                               .mOwnerIncarnation = Incarnation(1),
                               .mLogFromEpoch = Epoch(1) }));
      }
    };
    cluster.Run(seconds(40));
    CPPUNIT_ASSERT(raced);
    CPPUNIT_ASSERT_EQUAL(kRows, cluster.RowsWithOneOwner());
  });
}

void
LostAnswers(Section& aSection)
{
  aSection.It("a takeover whose answer was lost is recognised", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.mPlatform.Script({ CommitFate::Serve, CommitFate::LoseAnswer });
    cluster.Run(seconds(6));
    CPPUNIT_ASSERT_EQUAL(kRows, cluster.At("a").mOwned.size());
    for (const auto& [row, epoch] : cluster.At("a").mOwned) {
      CPPUNIT_ASSERT_EQUAL(Epoch(1).mValue, epoch.mValue);
    }
  });
  aSection.It("a renewal whose answer was lost does not supersede itself", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Run(seconds(6));
    cluster.mPlatform.Script(
      { CommitFate::LoseAnswer, CommitFate::LoseRequest, CommitFate::Delay });
    cluster.Run(seconds(6));
    cluster.mPlatform.ApplyLate();
    const std::uint64_t before = cluster.VersionOf("nodes/a");
    cluster.Run(seconds(6));
    CPPUNIT_ASSERT(cluster.VersionOf("nodes/a") > before);
    CPPUNIT_ASSERT(!cluster.At("a").mSuperseded);
    CPPUNIT_ASSERT(cluster.At("a").mDeposed.empty());
  });
  aSection.It("a release whose request was lost is repeated", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Run(seconds(6));
    cluster.At("a").mLoop->Leave();
    cluster.mPlatform.Script(
      { CommitFate::Serve, CommitFate::LoseRequest, CommitFate::LoseAnswer });
    cluster.Run(seconds(6));
    CPPUNIT_ASSERT(cluster.At("a").mLeft);
  });
}

void
Failures(Section& aSection)
{
  aSection.It("a dead node's rows go to others with higher epochs", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Add("b");
    cluster.Run(seconds(40));
    const auto lost = cluster.At("b").mOwned;
    CPPUNIT_ASSERT(!lost.empty());
    cluster.At("b").mPaused = true;
    cluster.Run(seconds(8));
    CPPUNIT_ASSERT(cluster.At("a").mOwned.size() < kRows);
    cluster.Run(seconds(12));
    CPPUNIT_ASSERT_EQUAL(kRows, cluster.At("a").mOwned.size());
    for (const auto& [row, epoch] : lost) {
      CPPUNIT_ASSERT(cluster.At("a").mOwned.at(row) > epoch);
    }
  });
  aSection.It("a paused node that wakes learns that it was deposed", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Add("b");
    cluster.Run(seconds(40));
    const std::size_t owned = cluster.At("b").mOwned.size();
    cluster.At("b").mPaused = true;
    cluster.Run(seconds(20));
    cluster.At("b").mPaused = false;
    cluster.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(owned, cluster.At("b").mDeposed.size());
    cluster.Run(seconds(60));
    CPPUNIT_ASSERT_EQUAL(kRows, cluster.RowsWithOneOwner());
    CPPUNIT_ASSERT(!cluster.At("b").mOwned.empty());
  });
  aSection.It("also with intervals shorter than the retry interval", [] {
    TestCluster cluster;
    cluster.mOptions.mReadInterval = milliseconds(100);
    cluster.mOptions.mRenewInterval = milliseconds(100);
    cluster.mOptions.mPlanner.mLeases.mLeaseTtl = seconds(1);
    cluster.Add("a");
    cluster.Run(seconds(6));
    cluster.Add("b");
    cluster.Run(seconds(2));
    cluster.At("a").mPaused = true;
    cluster.Run(seconds(8));
    CPPUNIT_ASSERT_EQUAL(kRows, cluster.At("b").mOwned.size());
  });
  aSection.It("an owner that renews at the last moment keeps its rows", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Add("b");
    cluster.Run(seconds(40));
    const std::size_t owned = cluster.At("b").mOwned.size();
    cluster.At("b").mPaused = true;
    cluster.mPlatform.mBeforeCommit = [&](const auto& aTransaction) {
      if (aTransaction.mMutations.front().mKey != "nodes/a") {
        cluster.mPlatform.mBeforeCommit = nullptr;
        cluster.mPlatform.Put("nodes/b",
                              cluster.mPlatform.Store().Read("nodes/b").mValue);
      }
    };
    cluster.Run(milliseconds(14'500));
    CPPUNIT_ASSERT(!cluster.mPlatform.mBeforeCommit);
    cluster.At("b").mPaused = false;
    cluster.Run(seconds(10));
    CPPUNIT_ASSERT(cluster.At("b").mDeposed.empty());
    CPPUNIT_ASSERT_EQUAL(owned, cluster.At("b").mOwned.size());
  });
  aSection.It("when all nodes pause, the first to wake takes nothing", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Add("b");
    cluster.Run(seconds(40));
    cluster.mNow += seconds(60);
    cluster.At("b").mPaused = true;
    cluster.Run(seconds(3));
    cluster.At("b").mPaused = false;
    cluster.Run(seconds(10));
    CPPUNIT_ASSERT(cluster.At("b").mDeposed.empty());
  });
}

void
Outages(Section& aSection)
{
  aSection.It("an outage of a minute moves nothing", [] {
    TestCluster cluster;
    for (const char* name : { "a", "b", "c" }) {
      cluster.Add(name);
    }
    cluster.Run(seconds(60));
    const auto before = cluster.At("a").mOwned;
    cluster.mPlatform.SetAway(true);
    cluster.Run(seconds(60));
    cluster.mPlatform.SetAway(false);
    cluster.Run(seconds(30));
    CPPUNIT_ASSERT(before == cluster.At("a").mOwned);
    CPPUNIT_ASSERT(cluster.At("a").mDeposed.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, cluster.At("a").mMembers.size());
  });
  aSection.It("a slow store does not keep a node from renewing", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Run(seconds(6));
    TestNode& node = cluster.At("a");
    store::TableHooks slow = cluster.mPlatform.Table();
    slow.mScan = [&, scan = slow.mScan](const auto& aPrefix,
                                        const auto& aAfterKey,
                                        std::size_t aLimit) {
      cluster.mNow += seconds(3);
      return scan(aPrefix, aAfterKey, aLimit);
    };
    node.mLoop = std::make_unique<MembershipLoop>(
      MembershipOptions{
        .mPlanner = { .mNode = NodeId("a"), .mIncarnation = Incarnation(1) } },
      slow,
      MembershipHooks{},
      [&] { return cluster.mNow; });
    const std::uint64_t before =
      cluster.mPlatform.Store().Statistics({}).mTransactions;
    node.mLoop->Step();
    CPPUNIT_ASSERT(cluster.mPlatform.Store().Statistics({}).mTransactions >=
                   before + 3);
  });
  aSection.It("while no node can write, none is taken for dead", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Add("b");
    cluster.Run(seconds(60));
    cluster.mPlatform.Script(std::vector<CommitFate>(1000, CommitFate::Refuse));
    cluster.Run(seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, cluster.At("a").mMembers.size());
    cluster.mPlatform.Script({});
    cluster.Run(seconds(10));
    CPPUNIT_ASSERT(cluster.At("a").mDeposed.empty());
    CPPUNIT_ASSERT(cluster.At("b").mDeposed.empty());
  });
}

void
ReplacedNodes(Section& aSection)
{
  aSection.It("a restarted process takes its rows again at once", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Run(seconds(6));
    cluster.Add("a", 2);
    cluster.Run(seconds(6));
    CPPUNIT_ASSERT_EQUAL(kRows, cluster.At("a").mOwned.size());
    CPPUNIT_ASSERT_EQUAL(Epoch(2).mValue,
                         cluster.At("a").mOwned.begin()->second.mValue);
  });
  aSection.It("a process that another has replaced under its id stops", [] {
    TestCluster cluster;
    TestNode& old = cluster.Add("a");
    cluster.Run(seconds(6));
    cluster.mPlatform.Put(
      "nodes/a",
      EncodeNodeRow({ .mNode = NodeId("a"), .mIncarnation = Incarnation(9) }));
    cluster.Run(seconds(6));
    CPPUNIT_ASSERT(old.mSuperseded);
  });
  aSection.It("an unreadable ownership row is left alone", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.mPlatform.Put("partitions/3", "{torn");
    cluster.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(kRows - 1, cluster.At("a").mOwned.size());
    CPPUNIT_ASSERT_EQUAL(std::string("{torn"),
                         cluster.mPlatform.Store().Read("partitions/3").mValue);
  });
  aSection.It("the row of a node that is long gone is removed", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Add("b").mPaused = true;
    cluster.mPlatform.Put("nodes/b", EncodeNodeRow({ .mNode = NodeId("b") }));
    cluster.Run(seconds(140));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, cluster.VersionOf("nodes/b"));
  });
}

void
PlannedStops(Section& aSection)
{
  aSection.It("a leaving node hands everything over and signs off", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Add("b");
    cluster.Run(seconds(40));
    TestNode& leaver = cluster.At("b");
    leaver.mLoop->Leave();
    cluster.Run(seconds(8));
    CPPUNIT_ASSERT(leaver.mLeft);
    CPPUNIT_ASSERT(leaver.mDeposed.empty());
    CPPUNIT_ASSERT_EQUAL(kRows, cluster.At("a").mOwned.size());
    leaver.mLoop->SignOff();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, cluster.VersionOf("nodes/b"));
  });
  aSection.It("a drained node hands its rows over but stays a member", [] {
    TestCluster cluster;
    cluster.Add("a");
    cluster.Add("b");
    cluster.Run(seconds(40));
    for (const char* name : { "a", "b" }) {
      cluster.At(name).mLoop->SetDrained({ NodeId("b") });
    }
    cluster.Run(seconds(60));
    CPPUNIT_ASSERT_EQUAL(kRows, cluster.At("a").mOwned.size());
    CPPUNIT_ASSERT(cluster.At("b").mOwned.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, cluster.At("b").mMembers.size());
  });
}

void
StoreUse(Section& aSection)
{
  aSection.It("60 nodes stay within the stated reads and writes", [] {
    TestCluster cluster;
    for (int at = 0; at < 60; ++at) {
      cluster.Add("node-" + std::to_string(100 + at));
    }
    cluster.Run(seconds(60));
    const auto before = cluster.mPlatform.Store().Statistics({});
    cluster.Run(seconds(20));
    const auto after = cluster.mPlatform.Store().Statistics({});
    CPPUNIT_ASSERT_EQUAL(kRows, cluster.RowsWithOneOwner());
    CPPUNIT_ASSERT(after.mRowsWritten - before.mRowsWritten <=
                   std::uint64_t{ 20 } * 31);
    CPPUNIT_ASSERT(after.mRowsRead - before.mRowsRead <=
                   std::uint64_t{ 20 } * 1100);
    CPPUNIT_ASSERT(after.mReads - before.mReads <= std::uint64_t{ 20 } * 45);
  });
}

} // namespace

void
OwnershipStory(Section& aStory)
{
  aStory.Describe("the assignment of rows to nodes", Assignment);
  aStory.Describe("at the start", Start);
  aStory.Describe("when answers are lost", LostAnswers);
  aStory.Describe("when nodes die or pause", Failures);
  aStory.Describe("when the store is away", Outages);
  aStory.Describe("when processes and rows are replaced", ReplacedNodes);
  aStory.Describe("planned stops", PlannedStops);
  aStory.Describe("use of the store", StoreUse);
}

} // namespace oriolevane::membership
