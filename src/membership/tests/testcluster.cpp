#include "membership/tests/testcluster.h"

namespace oriolevane::membership {

namespace {

constexpr std::chrono::milliseconds kStep{ 100 };

} // namespace

TestNode&
TestCluster::Add(const std::string& aName, std::uint64_t aIncarnation)
{
  mNodes[aName] = std::make_unique<TestNode>();
  TestNode& node = *mNodes[aName];
  MembershipOptions options = mOptions;
  options.mPlanner.mNode = NodeId(aName);
  options.mPlanner.mIncarnation = Incarnation(aIncarnation);
  options.mPlanner.mPartitions = kPartitions;
  options.mPlanner.mShards = kShards;
  node.mLoop = std::make_unique<MembershipLoop>(
    options, mPlatform.Table(), HooksOf(node), [this] { return mNow; });
  return node;
}

void
TestCluster::Run(std::chrono::milliseconds aFor)
{
  for (const TimePoint end = mNow + aFor; mNow < end; mNow += kStep) {
    for (auto& [name, node] : mNodes) {
      if (!node->mPaused && mNow >= node->mNext) {
        node->mNext = node->mLoop->Step();
      }
    }
  }
}

std::size_t
TestCluster::RowsWithOneOwner() const
{
  std::map<RowRef, int> owners;
  for (const auto& [name, node] : mNodes) {
    if (node->mPaused) {
      continue;
    }
    for (const auto& [row, epoch] : node->mOwned) {
      ++owners[row];
    }
  }
  std::size_t single = 0;
  for (const auto& [row, count] : owners) {
    single += count == 1 ? 1 : 0;
  }
  return single;
}

std::uint64_t
TestCluster::VersionOf(const std::string& aKey)
{
  return mPlatform.Store().Read(aKey).mVersion;
}

MembershipHooks
TestCluster::HooksOf(TestNode& aNode)
{
  return {
    .mOnAcquired =
      [&aNode](const AcquiredRow& aRow) {
        aNode.mOwned[aRow.mRow] = aRow.mEpoch;
      },
    .mOnDeposed =
      [&aNode](const DeposedRow& aRow) {
        aNode.mOwned.erase(aRow.mRow);
        aNode.mDeposed.push_back(aRow);
      },
    .mOnHandOver =
      [&aNode](const RowRef& aRow) {
        aNode.mOwned.erase(aRow);
        aNode.mHandOvers.push_back(aRow);
        aNode.mLoop->Release(aRow);
      },
    .mOnMembers =
      [&aNode](const std::vector<Member>& aMembers) {
        aNode.mMembers = aMembers;
      },
    .mOnLeft = [&aNode] { aNode.mLeft = true; },
    .mOnSuperseded = [&aNode] { aNode.mSuperseded = true; },
  };
}

} // namespace oriolevane::membership
