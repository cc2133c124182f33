// Implements a node: connects its peers, its ownership of the shard and the
// requests of callers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "cellnode/cellnode.h"
#include "cellnode/internal/configurationtracker.h"
#include "cellnode/internal/noderegistry.h"
#include "cellnode/internal/ownersession.h"
#include "cellnode/internal/peerlinks.h"
#include "cellnode/internal/pendingcalls.h"
#include "cellnode/internal/predecessor.h"
#include "cellnode/internal/relayserver.h"
#include "cellnode/internal/shardclaimer.h"
#include "cellnode/looplagmonitor.h"
#include "cellnode/ownershippolicy.h"
#include "cellnode/yieldpolicy.h"

namespace oriolevane::cellnode {

class CellNode::Impl
{
public:
  Impl(eventloop::EventLoop& aLoop,
       NodeOptions aOptions,
       RowStoreHooks aStore,
       UpstreamHooks aUpstreams,
       ExternalFormats aFormats);
  ~Impl();

  absl::Status Start();
  void Handle(CallerRequest aRequest, AnswerCallback aReply);
  bool IsReady() const;
  void Stop(std::function<void()> aDone);
  NodeStatus Status() const;
  const NodeMetrics& Metrics() const { return mMetrics; }

private:
  // What a node has said of itself.
  struct PeerState
  {
    // How the process figures as a successor of the shard's former owner.
    LinkedProcess mLinked;
    double mFitness = 0.0;
    ZoneId mZone;
    // The node calls workers on behalf of the owner.
    bool mRelays = false;
  };

  // Ownership of the shard.
  void Tick();
  void LogLateTick(TimePoint aNow) const;
  void OnOwnerRow(const OwnerRow& aRow);
  void BeginSession(const ClaimedShard& aShard);
  void EndSession(std::string_view aReason);
  void OnReleased();
  void FinishStopWhenIdle(TimePoint aNow);
  // Called when the owner cannot be reached any more, or no longer owns the
  // shard.
  void OnOwnerLost();

  // Links to other nodes.
  void UpdateHello();
  void SendHeartbeats();
  NodeId FittestPeer() const;
  double PeerFitness(const NodeId& aNode) const;
  RelayServerHooks MakeRelayServerHooks();
  // Tells the session of a linked node.
  void AddToSession(const NodeId& aNode);
  // True when the predecessor, and all owners before it, are known to have
  // stopped.
  bool IsPredecessorGone() const;
  // What a hello says of the process that sent it.
  LinkedProcess LinkedProcessOf(const cellwire::HelloT& aHello) const;
  void YieldIfNeeded(TimePoint aNow);
  void OnHello(const NodeId& aNode, const cellwire::HelloT& aHello);
  void OnMessage(const NodeId& aNode, const cellwire::MessageT& aMessage);
  void OnPeerClosed(const NodeId& aNode);
  void OnHeartbeat(const NodeId& aNode, const cellwire::HeartbeatT& aHeartbeat);
  void OnPeerCallerRequest(const NodeId& aNode,
                           const cellwire::CallerRequestT& aCall);
  void OnPeerCallerAnswer(const NodeId& aNode,
                          const cellwire::CallerAnswerT& aAnswer);
  void OnPeerAdviceQuery(const NodeId& aNode,
                         const cellwire::AdviceQueryT& aQuery);
  void OnAdviceAnswer(QueryId aId, const jobs::AdviceAnswer& aAnswer);
  void SendAdviceQuery(const NodeId& aNode,
                       QueryId aId,
                       const jobs::AdviceQuery& aQuery);

  // Notes that an answer to a request of another process or term is ignored.
  void OnStaleAnswer(PeerRequest aRequest, std::uint64_t aId);

  // Requests of callers.
  void SendCall(CallId aId);
  void SendUnsentCalls();

  void QueryPolicyService(const jobs::AdviceQuery& aQuery,
                          std::function<void(const jobs::AdviceAnswer&)> aDone);

  eventloop::EventLoop& mLoop;
  NodeMetrics mMetrics;
  NodeOptions mOptions;
  RowStoreHooks mStore;
  UpstreamHooks mUpstreams;
  ExternalFormats mFormats;
  PeerLinks mPeers;
  NodeRegistry mNodeRegistry;
  OwnershipPolicy mPolicy;
  ShardClaimer mShardClaimer;
  PendingCalls mCalls;
  ConfigurationTracker mConfiguration;
  // The previous owner; nullopt when there was none.
  std::optional<OwnerRow> mPredecessor;
  std::unique_ptr<OwnerSession> mSession;
  // Sessions that have ended. The event loop destroys them after the present
  // callback, which may be one of their own.
  std::vector<std::unique_ptr<OwnerSession>> mEndedSessions;
  // What the linked nodes have said of themselves.
  std::map<NodeId, PeerState> mPeerStates;
  RelayServer mRelayServer;
  std::unique_ptr<eventloop::Timer> mRelayFlushTimer;
  LoopLagMonitor mLoopLag;
  YieldPolicy mYieldPolicy;
  bool mYielding = false;
  // The highest epoch that this node knows.
  Epoch mEpoch;
  // The linked node that owns the shard; empty when it is unknown.
  NodeId mOwner;
  // The term in which it owns the shard, as it said last.
  Epoch mOwnerEpoch;
  TimePoint mNextHeartbeat;
  bool mStopping = false;
  TimePoint mStopStartedAt;
  std::function<void()> mOnStopped;
  std::unique_ptr<eventloop::Timer> mTimer;
  // When mTimer is due next.
  TimePoint mTickDue;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::cellnode
