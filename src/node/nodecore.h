// The deciding core of a node: its coordinators and placers, and the routing
// between them, the gateway and the peers. Deterministic; events and the time
// in, actions out.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/coordinator.h"
#include "framework/types/timepoint.h"
#include "node/ownerdirectory.h"
#include "node/refusalmemory.h"
#include "node/types/nodeaction.h"
#include "node/types/nodeevent.h"
#include "placement/placer.h"

namespace oriolevane::node {

struct NodeCoreOptions
{
  NodeId mNode;
  Incarnation mIncarnation;
  ZoneId mZone;
  std::uint32_t mPartitionCount = 16;
  std::uint32_t mShardCount = 8;
  std::uint64_t mSeed = 1;
  std::chrono::milliseconds mNodeLease{ 10'000 };
  std::chrono::milliseconds mTaskLease{ 10'000 };
  // A placer that hands its shard over answers this long for what still
  // arrives, so that nothing is lost between two owners.
  std::chrono::milliseconds mHandOverTime{ 600 };
  std::chrono::milliseconds mWorkerHeartbeatEvery{ 2'000 };
  std::chrono::milliseconds mHeartbeatEvery{ 1'000 };
  // With many nodes heartbeats become rarer, so that what a node sends stays
  // bounded: the interval is at least this for each peer.
  std::chrono::milliseconds mHeartbeatPerPeer{ 80 };
  // A call that is forwarded to another node is sent again after this long
  // without a reply.
  std::chrono::milliseconds mResendCallAfter{ 1'000 };
  // Told to callers whose partition has no owner yet.
  std::chrono::milliseconds mRecoveringRetryAfter{ 2'000 };
  // A snapshot is saved after this many records since the last.
  std::uint64_t mRecordsPerSnapshot = 2'000;
  // A second copy of a refused call is answered the same for this long.
  std::chrono::milliseconds mKeepRefusals{ 120'000 };
  // A call for a partition without an owner is kept this long for one to
  // appear.
  std::chrono::milliseconds mWaitForOwner{ 3'000 };
};

// What the core holds, for metrics and the operators' view.
struct NodeCoreSummary
{
  std::size_t mPartitions = 0;
  std::size_t mServingPartitions = 0;
  std::size_t mShards = 0;
  std::size_t mReadyShards = 0;
  std::size_t mLiveRequests = 0;
  std::size_t mPendingRecords = 0;
  std::size_t mPendingCalls = 0;
  bool mIdle = true;
  std::vector<protocol::ShardDigest> mDigests;
};

// Not thread-safe.
class NodeCore
{
public:
  explicit NodeCore(NodeCoreOptions aOptions);

  std::vector<NodeAction> Handle(NodeEvent aEvent, TimePoint aNow);
  NodeCoreSummary Summary() const;
  // The shard that a rack's workers belong to.
  ShardId ShardOf(const RackId& aRack) const;
  // Snapshot of an owned partition, and the sequence it covers; empty when not
  // owned.
  const coordination::Coordinator* FindCoordinator(
    PartitionId aPartition) const;

private:
  struct OwnedPartition
  {
    Epoch mEpoch;
    coordination::Coordinator mCoordinator;
    std::uint64_t mSnapshotSequence = 0;
  };
  struct OwnedShard
  {
    Epoch mEpoch;
    std::unique_ptr<placement::Placer> mPlacer;
  };
  struct PendingCall
  {
    protocol::CallerCall mCall;
    TimePoint mArrived;
    TimePoint mSent;
    // The owner it was last sent to; none yet when empty.
    Owner mSentTo;
  };

  void On(GatewayCall& aEvent);
  void On(GatewayCallAbandoned& aEvent);
  void On(PeerMessageArrived& aEvent);
  void On(MembersListed& aEvent);
  void On(HostsListed& aEvent);
  void On(RecordsCommitted& aEvent);
  void On(RecordsFailed& aEvent);
  void On(PartitionGained& aEvent);
  void On(PartitionLost& aEvent);
  void On(ShardGained& aEvent);
  void On(ShardLost& aEvent);
  void On(protocol::WorkerReport& aEvent);
  void On(placement::WorkerUnreachable& aEvent);
  void On(coordination::PolicyChanged& aEvent);
  void On(coordination::StoreHealth& aEvent);
  void On(HandOverPartition& aEvent);
  void On(HandOverShard& aEvent);
  void On(OwnershipRead& aEvent);
  void On(DrainBegan& aEvent);
  void On(Tick& aEvent);

  void OnHeartbeat(const codec::Heartbeat& aHeartbeat);
  void OnCallFromPeer(const PeerMessageArrived& aEvent,
                      const protocol::CallerCall& aCall);
  void OnReply(const protocol::CallerReply& aReply);
  void OnPeerReply(const NodeId& aFrom, const protocol::CallerReply& aReply);
  void FromPeer(protocol::ToPlacer aMessage);
  void FromPeer(protocol::ToCoordinator aMessage);
  void ToPlacer(ShardId aShard, protocol::ToPlacer aMessage);
  void ToCoordinator(protocol::ToCoordinator aMessage);
  void SendCall(PendingCall& aPending);
  void ServeCalls();
  void SendHeartbeats();
  void SendTo(const NodeId& aPeer, codec::PeerMessage aMessage);
  void ListWorkers(ShardId aShard, OwnedShard& aOwned);
  void Feed(PartitionId aPartition,
            const coordination::CoordinatorEvent& aEvent);
  void FeedAll(const coordination::CoordinatorEvent& aEvent);
  void Feed(ShardId aShard, const placement::PlacerEvent& aEvent);
  void FeedAllShards(const placement::PlacerEvent& aEvent);
  void Perform(PartitionId aPartition,
               std::vector<coordination::CoordinatorAction> aActions);
  void Perform(std::vector<placement::PlacerAction> aActions);
  void Perform(PartitionId aPartition,
               coordination::CoordinatorAction& aAction);
  void Perform(placement::PlacerAction& aAction);
  void Reply(const coordination::CallOrigin& aOrigin,
             const protocol::CallerReply& aReply);
  void Drain();
  void SaveSnapshots();
  void JudgeOwnership();
  void FinishHandOvers();

  // A message between a coordinator and a placer of this node, kept until the
  // sender has returned.
  struct LocalMessage
  {
    std::variant<protocol::ToPlacer, protocol::ToCoordinator> mMessage;
  };

  NodeCoreOptions mOptions;
  RefusalMemory mRefusals;
  TimePoint mNow;
  std::vector<NodeAction> mActions;
  std::vector<LocalMessage> mLocal;
  std::map<PartitionId, OwnedPartition> mPartitions;
  std::map<ShardId, OwnedShard> mShards;
  OwnerDirectory mPartitionOwners;
  OwnerDirectory mShardOwners;
  std::unordered_map<WorkerId, protocol::WorkerInfo> mWorkers;
  std::map<std::uint64_t, PendingCall> mCalls;
  std::set<NodeId> mPeers;
  std::map<ShardId, protocol::ShardDigest> mDigests;
  std::shared_ptr<const policy::CellPolicy> mPolicy;
  bool mStoreAvailable = true;
  bool mDraining = false;
  bool mOwnershipConfirmed = true;
  TimePoint mOwnershipRead;
  // Shards being handed over, and when they are let go.
  std::map<ShardId, TimePoint> mHandOvers;
  TimePoint mNextHeartbeat;
  std::uint64_t mHeartbeatCounter = 0;
};

} // namespace oriolevane::node
