#include "node/nodecore.h"

#include <algorithm>
#include <utility>

#include "framework/stablehash.h"
#include "node/internal/messagelog.h"

namespace oriolevane::node {

namespace {

constexpr std::size_t kMostRefusals = 20'000;

PartitionId
PartitionOf(const protocol::ToCoordinator& aMessage)
{
  return std::visit([](const auto& aBody) { return aBody.mRoute.mPartition; },
                    aMessage);
}

} // namespace

NodeCore::NodeCore(NodeCoreOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRefusals(mOptions.mKeepRefusals, kMostRefusals)
  , mPartitionOwners(mOptions.mPartitionCount)
  , mShardOwners(mOptions.mShardCount)
{
}

std::vector<NodeAction>
NodeCore::Handle(NodeEvent aEvent, TimePoint aNow)
{
  mNow = aNow;
  mActions.clear();
  std::visit([this](auto& aBody) { On(aBody); }, aEvent);
  Drain();
  return std::move(mActions);
}

ShardId
NodeCore::ShardOf(const RackId& aRack) const
{
  return ShardId(static_cast<std::uint32_t>(StableHash(aRack.mValue) %
                                            mOptions.mShardCount));
}

const coordination::Coordinator*
NodeCore::FindCoordinator(PartitionId aPartition) const
{
  const auto found = mPartitions.find(aPartition);
  return found == mPartitions.end() ? nullptr : &found->second.mCoordinator;
}

void
NodeCore::ToPlacer(ShardId aShard, protocol::ToPlacer aMessage)
{
  LogMessage(aMessage);
  const std::optional<Owner> owner = mShardOwners.Find(aShard.mValue);
  if (!owner.has_value()) {
    return;
  }
  if (owner->mNode == mOptions.mNode) {
    mLocal.push_back({ std::move(aMessage) });
    return;
  }
  SendTo(owner->mNode, std::move(aMessage));
}

void
NodeCore::ToCoordinator(protocol::ToCoordinator aMessage)
{
  LogMessage(aMessage);
  const std::optional<Owner> owner =
    mPartitionOwners.Find(PartitionOf(aMessage).mValue);
  if (!owner.has_value()) {
    return;
  }
  if (owner->mNode == mOptions.mNode) {
    mLocal.push_back({ std::move(aMessage) });
    return;
  }
  SendTo(owner->mNode, std::move(aMessage));
}

// Only the owner feeds what a peer sends: a message is never passed on, so that
// none can go round.
void
NodeCore::FromPeer(protocol::ToPlacer aMessage)
{
  mLocal.push_back({ std::move(aMessage) });
}

void
NodeCore::FromPeer(protocol::ToCoordinator aMessage)
{
  mLocal.push_back({ std::move(aMessage) });
}

void
NodeCore::Drain()
{
  while (!mLocal.empty()) {
    std::vector<LocalMessage> batch;
    batch.swap(mLocal);
    for (LocalMessage& local : batch) {
      if (auto* toPlacer = std::get_if<protocol::ToPlacer>(&local.mMessage)) {
        std::visit(
          [this](auto& aBody) {
            const ShardId shard = aBody.mRoute.mShard;
            Feed(shard, placement::PlacerEvent(std::move(aBody)));
          },
          *toPlacer);
      } else if (auto* toCoordinator =
                   std::get_if<protocol::ToCoordinator>(&local.mMessage)) {
        const PartitionId partition = PartitionOf(*toCoordinator);
        std::visit(
          [&](auto& aBody) {
            Feed(partition, coordination::CoordinatorEvent(std::move(aBody)));
          },
          *toCoordinator);
      }
    }
  }
}

void
NodeCore::On(coordination::PolicyChanged& aEvent)
{
  mPolicy = aEvent.mPolicy;
  FeedAll(aEvent);
  FeedAllShards(placement::PolicyChanged{ mPolicy });
}

void
NodeCore::On(coordination::StoreHealth& aEvent)
{
  mStoreAvailable = aEvent.mAvailable;
  FeedAll(aEvent);
}

void
NodeCore::On(HandOverPartition& aEvent)
{
  const auto found = mPartitions.find(aEvent.mPartition);
  if (found != mPartitions.end()) {
    PartitionLost lost{ aEvent.mPartition, found->second.mEpoch };
    On(lost);
  }
  mActions.emplace_back(PartitionHandedOver{ aEvent.mPartition });
}

void
NodeCore::On(HandOverShard& aEvent)
{
  Feed(aEvent.mShard, placement::HandOverBegan{});
  mHandOvers.emplace(aEvent.mShard, mNow + mOptions.mHandOverTime);
  mNextHeartbeat = mNow;
}

void
NodeCore::FinishHandOvers()
{
  for (auto next = mHandOvers.begin(); next != mHandOvers.end();) {
    const auto [shard, end] = *next;
    if (mNow < end) {
      ++next;
      continue;
    }
    const auto found = mShards.find(shard);
    if (found != mShards.end()) {
      ShardLost lost{ shard, found->second.mEpoch };
      On(lost);
    }
    mActions.emplace_back(ShardHandedOver{ shard });
    next = mHandOvers.erase(next);
  }
}

void
NodeCore::On(OwnershipRead& aEvent)
{
  static_cast<void>(aEvent);
  mOwnershipRead = mNow;
}

// Others may take over once a whole node lease has passed without a renewal;
// half of it leaves room for the last renewal and for differing clock rates.
void
NodeCore::JudgeOwnership()
{
  const bool confirmed = mNow - mOwnershipRead < mOptions.mNodeLease / 2;
  if (confirmed != mOwnershipConfirmed) {
    mOwnershipConfirmed = confirmed;
    FeedAllShards(placement::OwnershipConfirmation{ confirmed });
  }
}

// One snapshot a tick at most, so that no tick takes long.
void
NodeCore::SaveSnapshots()
{
  for (auto& [partition, owned] : mPartitions) {
    const std::uint64_t committed = owned.mCoordinator.CommittedSequence();
    if (committed >= owned.mSnapshotSequence + mOptions.mRecordsPerSnapshot) {
      owned.mSnapshotSequence = committed;
      mActions.emplace_back(SaveSnapshot{
        partition, owned.mEpoch, committed, owned.mCoordinator.Snapshot() });
      return;
    }
  }
}

void
NodeCore::On(DrainBegan& aEvent)
{
  static_cast<void>(aEvent);
  mDraining = true;
  mNextHeartbeat = mNow;
}

void
NodeCore::On(Tick& aEvent)
{
  static_cast<void>(aEvent);
  FeedAll(coordination::Tick{});
  FeedAllShards(placement::Tick{});
  ServeCalls();
  SendHeartbeats();
  SaveSnapshots();
  JudgeOwnership();
  FinishHandOvers();
}

NodeCoreSummary
NodeCore::Summary() const
{
  NodeCoreSummary summary{ .mPartitions = mPartitions.size(),
                           .mShards = mShards.size(),
                           .mPendingCalls = mCalls.size() };
  for (const auto& [partition, owned] : mPartitions) {
    summary.mServingPartitions += owned.mCoordinator.IsServing() ? 1 : 0;
    summary.mLiveRequests += owned.mCoordinator.LiveRequests();
    summary.mPendingRecords += owned.mCoordinator.PendingRecords();
    summary.mIdle = summary.mIdle && owned.mCoordinator.IsIdle();
  }
  for (const auto& [shard, owned] : mShards) {
    summary.mReadyShards += owned.mPlacer->IsReady() ? 1 : 0;
  }
  for (const auto& [shard, digest] : mDigests) {
    summary.mDigests.push_back(digest);
  }
  return summary;
}

} // namespace oriolevane::node
