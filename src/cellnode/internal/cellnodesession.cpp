// The part of a node that begins and ends its sessions as the owner of the
// shard.
#include <algorithm>
#include <utility>

#include "cellnode/internal/cellnodeimpl.h"
#include "framework/log.h"
#include "framework/steadynow.h"

namespace oriolevane::cellnode {

void
CellNode::Impl::BeginSession(const ClaimedShard& aShard)
{
  if (mSession != nullptr) {
    return;
  }
  if (aShard.mRow.mEpoch < mEpoch) {
    LogInfo("claim_superseded")
      .With("epoch", aShard.mRow.mEpoch)
      .With("newest_epoch", mEpoch);
    return;
  }
  LogInfo("ownership_acquired")
    .With("epoch", aShard.mRow.mEpoch)
    .With("row_version", aShard.mVersion);
  mMetrics.CountOwnership();
  mEpoch = aShard.mRow.mEpoch;
  mPolicy.OnOwnerContact(mEpoch, Duration::zero(), SteadyNow());
  mPredecessor = aShard.mPredecessor;
  mOwner = NodeId();
  mLoopLag = LoopLagMonitor();
  mYieldPolicy.OnOwnershipAcquired(
    mPredecessor.has_value() && mPredecessor->mReleased, SteadyNow());
  mYielding = false;
  mSession = std::make_unique<OwnerSession>(
    mLoop,
    mOptions,
    mStore,
    mUpstreams,
    mFormats,
    aShard.mRow,
    aShard.mVersion,
    aShard.mOwnedSince,
    OwnerSessionHooks{
      .mOnOwnershipLost = [this] { EndSession("lost"); },
      .mOnServing = [this] { UpdateHello(); },
      .mOnReleased = [this] { OnReleased(); },
      .mOnStageTime =
        [this](Stage aStage, Duration aTime) {
          mMetrics.Observe(aStage, aTime);
        },
      .mOnJobClosed =
        [this](jobs::CloseReason aReason) { mMetrics.CountClosedJob(aReason); },
      .mAuthorize =
        [this](const CallerRequest& aRequest,
               const AuthorizationTarget& aTarget) {
          return mConfiguration.Authorize(aRequest, aTarget, BootClock::Now());
        },
      .mSendAdviceQuery =
        [this](
          const NodeId& aNode, QueryId aId, const jobs::AdviceQuery& aQuery) {
          SendAdviceQuery(aNode, aId, aQuery);
        },
      .mSendWorkerCalls =
        [this](const NodeId& aNode, cellwire::WorkerCallBatchT aBatch) {
          mPeers.Send(aNode, std::move(aBatch));
        },
      .mOnStaleAnswer =
        [this](PeerRequest aRequest, std::uint64_t aId) {
          OnStaleAnswer(aRequest, aId);
        },
      .mOnQueriesLost =
        [this](std::size_t aQueries) {
          mMetrics.CountLostQueries(aQueries);
        } });
  for (const NodeId& node : mPeers.LinkedNodes()) {
    AddToSession(node);
  }
  if (IsPredecessorGone()) {
    mSession->OnPredecessorGone();
  }
  if (mPredecessor.has_value() && HaveAllStopped(mPredecessor)) {
    mSession->SetRunsEndIn(mPredecessor->mRunsEndIn);
  }
  if (mConfiguration.Current().has_value()) {
    mSession->Configure(*mConfiguration.Current());
  }
  mNodeRegistry.Watch();
  UpdateHello();
  SendUnsentCalls();
}

void
CellNode::Impl::AddToSession(const NodeId& aNode)
{
  const PeerState& peer = mPeerStates[aNode];
  mSession->AddNode(
    { .mNode = aNode, .mZone = peer.mZone, .mFitness = peer.mFitness },
    peer.mRelays);
}

void
CellNode::Impl::EndSession(std::string_view aReason)
{
  if (mSession == nullptr) {
    return;
  }
  LogWarning("ownership_ended").With("epoch", mEpoch).With("reason", aReason);
  mSession->Halt();
  mEndedSessions.push_back(std::move(mSession));
  mLoop.Post([this, alive = mAlive] {
    if (*alive) {
      mEndedSessions.clear();
    }
  });
  mNodeRegistry.Forget();
  OnOwnerLost();
  UpdateHello();
}

void
CellNode::Impl::OnReleased()
{
  const Epoch epoch = mEpoch;
  EndSession("released");
  // If the chosen node does not take over, the other nodes do so after reading
  // the owner row.
  cellwire::HandoverT handover;
  handover.epoch = epoch.mValue;
  mPeers.Send(FittestPeer(), handover);
}

// Releases the shard when another node's host would serve it better.
void
CellNode::Impl::YieldIfNeeded(TimePoint aNow)
{
  if (mYielding || !mSession->IsServing()) {
    return;
  }
  const NodeId peer = FittestPeer();
  const YieldReason reason =
    mYieldPolicy.ReasonToYield({ .mOwnFitness = mOptions.mFitness,
                                 .mPeerFitness = PeerFitness(peer),
                                 .mOverloaded = mLoopLag.IsOverloaded() },
                               aNow);
  if (reason == YieldReason::None) {
    return;
  }
  LogInfo("ownership_yielded")
    .With("to", peer)
    .With("epoch", mEpoch)
    .With("reason", reason == YieldReason::Overload ? "overload" : "unfit_host")
    .With("loop_lag_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(mLoopLag.Lag())
            .count());
  mYielding = true;
  mSession->Release();
}

} // namespace oriolevane::cellnode
