// Wires the parts of a node together.
#pragma once

#include <map>
#include <optional>

#include "cellnode/cellnode.h"
#include "cellnode/internal/callerqueue.h"
#include "cellnode/internal/ownersession.h"
#include "cellnode/internal/peerhub.h"
#include "cellnode/internal/shardclaim.h"
#include "cellnode/internal/tablewatch.h"
#include "cellnode/ownershippolicy.h"

namespace oriolevane::cellnode {

class CellNode::Impl
{
public:
  Impl(eventloop::EventLoop& aLoop,
       NodeOptions aOptions,
       RowStoreHooks aStore,
       UpstreamHooks aUpstreams,
       OutsideFormats aFormats);
  ~Impl();

  absl::Status Start();
  void Handle(CallerRequest aRequest, CallerReply aReply);
  bool IsReady() const;
  void Stop(std::function<void()> aDone);
  NodeStatus Status() const;
  const NodeMetrics& Metrics() const { return mMetrics; }

private:
  // Ownership.
  void Tick();
  void OnOwnerRow(const OwnerRow& aRow);
  void BeginSession(const ClaimedShard& aShard);
  void FollowNodes();
  void EndSession(std::string_view aReason);
  void OnReleased();
  void EndWhenStopped(TimePoint aNow);
  // The owner cannot be reached any more, or owns the shard no more.
  void OnOwnerLost();

  // Other nodes.
  void AnnounceNode();
  void SayHello();
  void SendHeartbeats();
  void DialMissing();
  NodeId FittestPeer() const;
  double PeerFitness(const NodeId& aNode) const;
  void GiveWay();
  void OnHello(const NodeId& aNode, const cellwire::HelloT& aHello);
  void OnMessage(const NodeId& aNode, const cellwire::MessageT& aMessage);
  void OnPeerClosed(const NodeId& aNode);
  void OnHeartbeat(const NodeId& aNode, const cellwire::HeartbeatT& aHeartbeat);
  void OnPeerCall(const NodeId& aNode, const cellwire::CallerRequestT& aCall);
  void OnPeerQuery(const NodeId& aNode, const cellwire::AdviceQueryT& aQuery);
  void OnPeerAdvice(const cellwire::AdviceAnswerT& aAnswer);
  void SendQuery(const NodeId& aNode,
                 QueryId aId,
                 const jobs::AdviceQuery& aQuery);

  // Callers.
  void SendCall(CallId aId);
  void SendUnsentCalls();

  void OnConfiguration(const Row& aRow);

  void Advise(const jobs::AdviceQuery& aQuery,
              std::function<void(const jobs::AdviceAnswer&)> aDone);

  eventloop::EventLoop& mLoop;
  NodeMetrics mMetrics;
  NodeOptions mOptions;
  RowStoreHooks mStore;
  UpstreamHooks mUpstreams;
  OutsideFormats mFormats;
  PeerHub mPeers;
  OwnershipPolicy mPolicy;
  ShardClaim mClaim;
  CallerQueue mCalls;
  std::unique_ptr<TableWatch> mConfigurationWatch;
  std::unique_ptr<TableWatch> mNodeWatch;
  std::optional<jobs::CellConfiguration> mConfiguration;
  // The owner before this node; nothing when there was none.
  std::optional<OwnerRow> mPredecessor;
  // Addresses of nodes by name, known while this node owns the shard.
  std::map<NodeId, std::string> mNodeAddresses;
  std::unique_ptr<OwnerSession> mSession;
  // Sessions that have ended; destroyed outside their own callbacks.
  std::vector<std::unique_ptr<OwnerSession>> mEndedSessions;
  std::map<NodeId, double> mPeerFitness;
  TimePoint mOwnedSince;
  bool mGivingWay = false;
  // Highest term that this node has heard of.
  Epoch mEpoch;
  // The linked node that owns the shard.
  NodeId mOwner;
  TimePoint mNextHeartbeat;
  TimePoint mNextDial;
  bool mAnnounced = false;
  bool mAnnouncing = false;
  TimePoint mNextAnnounce;
  bool mStopping = false;
  TimePoint mStopBegan;
  std::function<void()> mOnStopped;
  std::unique_ptr<eventloop::Timer> mTimer;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::cellnode
