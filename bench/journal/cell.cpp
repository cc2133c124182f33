#include "cell.h"

#include <utility>

#include <fmt/format.h>

#include "journal/recovery.h"
#include "store/tablewire.h"

namespace oriolevane::bench {

Cell::Cell(CellOptions aOptions, Committed aCommitted)
  : mOptions(aOptions)
  , mCommitted(std::move(aCommitted))
{
  mPlatform.mBeforeCommit = [this](const store::Transaction& aTransaction) {
    Count(aTransaction);
  };
  for (std::uint32_t number = 0; number < mOptions.mNodes; ++number) {
    AddNode(number);
  }
}

void
Cell::Step()
{
  mNow += std::chrono::milliseconds(1);
  for (const auto& node : mNodes) {
    if (node->mDead) {
      continue;
    }
    if (mNow >= node->mMembershipNext) {
      node->mMembershipNext = node->mMembership->Step();
    }
    if (mNow >= node->mJournalNext) {
      const auto before = mWrites.mJournalTransactions;
      node->mJournal->Step(mNow);
      const bool wrote = mWrites.mJournalTransactions != before;
      node->mJournalNext = wrote ? mNow + mOptions.mStoreLatency : mNow;
    }
    node->mSnapshots->Step(mNow);
  }
  if (mNow >= mNextSnapshots) {
    mNextSnapshots = mNow + mOptions.mSnapshotInterval;
    SaveSnapshots();
  }
}

std::uint64_t
Cell::Append(PartitionId aPartition, std::string aBytes)
{
  const auto owner = mOwners.find(aPartition);
  if (owner == mOwners.end()) {
    return 0;
  }
  const std::uint64_t sequence = ++owner->second.mLastSequence;
  owner->second.mNode->mJournal->Append(
    aPartition, { .mSequence = sequence, .mBytes = std::move(aBytes) }, mNow);
  return sequence;
}

void
Cell::Kill(PartitionId aPartition)
{
  Node* const node = mOwners.at(aPartition).mNode;
  node->mDead = true;
  for (auto owner = mOwners.begin(); owner != mOwners.end();) {
    if (owner->second.mNode == node) {
      mUnownedSince[owner->first] = mNow;
      owner = mOwners.erase(owner);
    } else {
      ++owner;
    }
  }
}

void
Cell::Leave(PartitionId aPartition)
{
  mOwners.at(aPartition).mNode->mMembership->Leave();
}

std::size_t
Cell::ViewBytes() const
{
  std::size_t bytes = 0;
  for (const char* prefix : { "nodes/", "partitions/", "shards/" }) {
    bytes += store::EncodeRows(mPlatform.Store().Dump(prefix)).size();
  }
  return bytes;
}

std::uint64_t
Cell::RowsRead() const
{
  return mPlatform.Store().Statistics(mNow).mRowsRead;
}

void
Cell::AddNode(std::uint32_t aNumber)
{
  mNodes.push_back(std::make_unique<Node>());
  MakeMembership(*mNodes.back(), aNumber);
  MakeJournal(*mNodes.back());
}

void
Cell::MakeMembership(Node& aNode, std::uint32_t aNumber)
{
  const membership::PlannerOptions planner{ .mNode = NodeId(fmt::format(
                                              "node-{:03}", aNumber)),
                                            .mIncarnation = Incarnation(1),
                                            .mPartitions = mOptions.mPartitions,
                                            .mShards = mOptions.mShards };
  aNode.mMembership = std::make_unique<membership::MembershipLoop>(
    membership::MembershipOptions{ .mPlanner = planner },
    mPlatform.Table(),
    membership::MembershipHooks{
      .mOnAcquired = [this,
                      &aNode](const auto& aRow) { OnAcquired(aNode, aRow); },
      .mOnHandOver = [this,
                      &aNode](const auto& aRow) { OnHandOver(aNode, aRow); },
      .mOnMembers =
        [&aNode](const auto& aMembers) {
          aNode.mJournal->SetLiveNodes(
            static_cast<std::uint32_t>(aMembers.size()));
        } },
    [this] { return mNow; });
}

void
Cell::MakeJournal(Node& aNode)
{
  const journal::JournalOptions options{ .mPace = { .mPartitions =
                                                      mOptions.mPartitions } };
  aNode.mJournal = std::make_unique<journal::JournalLoop>(
    options,
    mPlatform.Table(),
    journal::JournalHooks{
      .mOnOutcome = [this](const auto& aOutcome) { OnOutcome(aOutcome); } });
  aNode.mSnapshots = std::make_unique<journal::SnapshotLoop>(
    options,
    mPlatform.Table(),
    mPlatform.Objects(),
    journal::SnapshotLoop::Hooks{ .mOnStored =
                                    [&aNode](const journal::SnapshotId& aId) {
                                      aNode.mJournal->PointAtSnapshot(
                                        aId,
                                        [&aNode, aId](const auto& aOutcome) {
                                          if (aOutcome.mStatus.ok()) {
                                            aNode.mSnapshots->CleanUp(aId, "");
                                          }
                                        });
                                    },
                                  .mOnFailed = [](const auto&) {} });
}

void
Cell::OnAcquired(Node& aNode, const membership::AcquiredRow& aRow)
{
  if (aRow.mRow.mKind != membership::RowKind::Partition) {
    return;
  }
  const PartitionId partition(aRow.mRow.mNumber);
  const auto recovered = journal::RecoverPartition(
    mPlatform.Table(), mPlatform.Objects(), partition);
  const std::uint64_t last = recovered->mLastSequence;
  if (const auto gap = mUnownedSince.extract(partition)) {
    mGaps.push_back(mNow - gap.mapped());
  }
  aNode.mJournal->Open({ .mPartition = partition,
                         .mEpoch = aRow.mEpoch,
                         .mRowVersion = aRow.mVersion,
                         .mLastSequence = last });
  mOwners[partition] = { .mNode = &aNode,
                         .mEpoch = aRow.mEpoch,
                         .mLastSequence = last,
                         .mLastCommitted = last,
                         .mLastSnapshot = last };
}

void
Cell::OnHandOver(Node& aNode, const membership::RowRef& aRow)
{
  if (aRow.mKind == membership::RowKind::Partition) {
    const PartitionId partition(aRow.mNumber);
    mOwners.erase(partition);
    mUnownedSince[partition] = mNow;
    aNode.mJournal->Close(partition);
  }
  aNode.mMembership->Release(aRow);
}

void
Cell::OnOutcome(const journal::AppendOutcome& aOutcome)
{
  if (aOutcome.mResult != journal::AppendResult::Committed) {
    return;
  }
  mOwners[aOutcome.mPartition].mLastCommitted = aOutcome.mSequences.back();
  for (const std::uint64_t sequence : aOutcome.mSequences) {
    mCommitted(aOutcome.mPartition, sequence);
  }
}

void
Cell::SaveSnapshots()
{
  for (auto& [partition, owner] : mOwners) {
    if (owner.mLastCommitted > owner.mLastSnapshot) {
      owner.mLastSnapshot = owner.mLastCommitted;
      owner.mNode->mSnapshots->Upload(
        { .mId = { partition, owner.mEpoch, owner.mLastCommitted },
          .mBytes = "state" });
    }
  }
}

void
Cell::Count(const store::Transaction& aTransaction)
{
  bool journal = false;
  for (const store::RowMutation& mutation : aTransaction.mMutations) {
    if (!mutation.mKey.starts_with("log/")) {
      ++mWrites.mOtherRows;
    } else if (mutation.mValue) {
      journal = true;
      ++mWrites.mLogRows;
      mWrites.mLogBytes += mutation.mValue->size();
    } else {
      ++mWrites.mDeletedRows;
    }
  }
  mWrites.mJournalTransactions += journal ? 1 : 0;
}

} // namespace oriolevane::bench
