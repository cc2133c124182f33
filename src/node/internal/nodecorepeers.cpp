#include "node/nodecore.h"

#include <algorithm>
#include <utility>

#include "node/internal/requestof.h"

namespace oriolevane::node {

void
NodeCore::On(PeerMessageArrived& aEvent)
{
  std::visit(
    [this, &aEvent](auto& aBody) {
      using Body = std::decay_t<decltype(aBody)>;
      if constexpr (std::is_same_v<Body, codec::Heartbeat>) {
        OnHeartbeat(aBody);
      } else if constexpr (std::is_same_v<Body, protocol::CallerCall>) {
        OnCallFromPeer(aEvent, aBody);
      } else if constexpr (std::is_same_v<Body, protocol::CallerReply>) {
        OnPeerReply(aEvent.mFrom, aBody);
      } else if constexpr (std::is_same_v<Body, protocol::ToPlacer> ||
                           std::is_same_v<Body, protocol::ToCoordinator>) {
        FromPeer(std::move(aBody));
      }
    },
    aEvent.mMessage);
}

void
NodeCore::OnCallFromPeer(const PeerMessageArrived& aEvent,
                         const protocol::CallerCall& aCall)
{
  if (mPartitions.count(aCall.mPartition) == 0) {
    return;
  }
  const coordination::CallOrigin origin{ aEvent.mFrom,
                                         aEvent.mFromIncarnation };
  const auto refusal = mRefusals.Find(origin, aCall.mCall);
  if (refusal.has_value()) {
    SendTo(origin.mNode, *refusal);
    return;
  }
  Feed(aCall.mPartition,
       coordination::CallArrived{ .mOrigin = origin, .mCall = aCall });
}

void
NodeCore::OnHeartbeat(const codec::Heartbeat& aHeartbeat)
{
  for (const codec::OwnedPartition& owned : aHeartbeat.mPartitions) {
    mPartitionOwners.Learn(
      owned.mPartition.mValue,
      { aHeartbeat.mNode, aHeartbeat.mIncarnation, owned.mEpoch });
  }
  for (const protocol::ShardDigest& digest : aHeartbeat.mDigests) {
    mShardOwners.Learn(
      digest.mShard.mValue,
      { aHeartbeat.mNode, aHeartbeat.mIncarnation, digest.mEpoch });
    mDigests[digest.mShard] = digest;
    FeedAll(coordination::DigestReceived{ digest });
  }
}

void
NodeCore::On(MembersListed& aEvent)
{
  mPeers.clear();
  for (const NodeId& member : aEvent.mMembers) {
    if (member != mOptions.mNode) {
      mPeers.insert(member);
    }
  }
  mNextHeartbeat = mNow;
}

void
NodeCore::SendTo(const NodeId& aPeer, codec::PeerMessage aMessage)
{
  mActions.emplace_back(SendToPeer{ aPeer, std::move(aMessage) });
}

void
NodeCore::SendHeartbeats()
{
  if (mNow < mNextHeartbeat) {
    return;
  }
  mNextHeartbeat = mNow + std::max(mOptions.mHeartbeatEvery,
                                   mOptions.mHeartbeatPerPeer *
                                     static_cast<int>(mPeers.size()));
  codec::Heartbeat heartbeat{ .mNode = mOptions.mNode,
                              .mIncarnation = mOptions.mIncarnation,
                              .mZone = mOptions.mZone,
                              .mConfiguration = mPolicy == nullptr
                                                  ? ConfigurationVersion()
                                                  : mPolicy->mVersion,
                              .mLeaving = mDraining,
                              .mCounter = ++mHeartbeatCounter };
  for (auto& [shard, owned] : mShards) {
    heartbeat.mDigests.push_back(owned.mPlacer->Digest(mNow));
  }
  for (const auto& [partition, owned] : mPartitions) {
    heartbeat.mPartitions.push_back({ partition, owned.mEpoch });
  }
  OnHeartbeat(heartbeat);
  for (const NodeId& peer : mPeers) {
    SendTo(peer, heartbeat);
  }
}

} // namespace oriolevane::node
