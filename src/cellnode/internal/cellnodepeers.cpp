// The part of a node that exchanges messages with other nodes: what it says of
// itself, and what it learns of them and of the owner.
#include <algorithm>

#include "cellnode/internal/cellnodeimpl.h"
#include "cellnode/internal/peermessages.h"
#include "framework/log.h"
#include "framework/steadynow.h"

namespace oriolevane::cellnode {

void
CellNode::Impl::UpdateHello()
{
  cellwire::HelloT hello;
  hello.node = mOptions.mNode.mValue;
  hello.address = mOptions.mPeerAddress;
  hello.incarnation = mOptions.mIncarnation.mValue;
  hello.epoch = mEpoch.mValue;
  hello.owns = mSession != nullptr;
  hello.fitness = static_cast<float>(mOptions.mFitness);
  hello.zone = mOptions.mZone.mValue;
  hello.relays = !mStopping;
  hello.accepts_compression = true;
  hello.wants_compression = mOptions.mCompress;
  mPeers.SetHello(std::move(hello));
}

void
CellNode::Impl::SendHeartbeats()
{
  const std::uint32_t age = ToWireMillis(mSession->StoreAge(SteadyNow()));
  const double best = std::max(mOptions.mFitness, PeerFitness(FittestPeer()));
  mSession->SetBestFitness(best);
  for (const NodeId& node : mPeers.LinkedNodes()) {
    cellwire::HeartbeatT heartbeat;
    heartbeat.epoch = mEpoch.mValue;
    heartbeat.owns = true;
    heartbeat.store_age_ms = age;
    heartbeat.best_fitness = static_cast<float>(best);
    mPeers.Send(node, heartbeat);
  }
}

NodeId
CellNode::Impl::FittestPeer() const
{
  NodeId fittest;
  for (const NodeId& node : mPeers.LinkedNodes()) {
    if (fittest.Empty() || PeerFitness(node) > PeerFitness(fittest)) {
      fittest = node;
    }
  }
  return fittest;
}

double
CellNode::Impl::PeerFitness(const NodeId& aNode) const
{
  const auto found = mPeerStates.find(aNode);
  return found == mPeerStates.end() ? 0.0 : found->second.mFitness;
}

bool
CellNode::Impl::IsPredecessorGone() const
{
  std::optional<LinkedProcess> linked;
  if (mPredecessor.has_value() && mPeers.IsLinked(mPredecessor->mNode)) {
    if (const auto peer = mPeerStates.find(mPredecessor->mNode);
        peer != mPeerStates.end()) {
      linked = peer->second.mLinked;
    }
  }
  return cellnode::IsPredecessorGone(mPredecessor,
                                     { .mNode = mOptions.mNode,
                                       .mIncarnation = mOptions.mIncarnation,
                                       .mAddress = mOptions.mPeerAddress },
                                     linked);
}

LinkedProcess
CellNode::Impl::LinkedProcessOf(const cellwire::HelloT& aHello) const
{
  const NodeId node(aHello.node);
  const Incarnation incarnation(aHello.incarnation);
  const Epoch epoch(aHello.epoch);
  const auto known = mPeerStates.find(node);
  const bool isKnown =
    known != mPeerStates.end() &&
    known->second.mLinked.mProcess.mIncarnation == incarnation;
  // A later hello of a known process may be one that is reported again.
  const Epoch seenInEpoch =
    isKnown ? known->second.mLinked.mSeenInEpoch : mEpoch;
  return { .mProcess = { .mNode = node,
                         .mIncarnation = incarnation,
                         .mAddress = aHello.address },
           .mLeftEpoch = aHello.owns ? Epoch() : epoch,
           .mSeenInEpoch = std::max(seenInEpoch, epoch) };
}

void
CellNode::Impl::OnHello(const NodeId& aNode, const cellwire::HelloT& aHello)
{
  const Epoch epoch(aHello.epoch);
  mPeerStates[aNode] = { .mLinked = LinkedProcessOf(aHello),
                         .mFitness = aHello.fitness,
                         .mZone = ZoneId(aHello.zone),
                         .mRelays = aHello.relays };
  if (mSession != nullptr) {
    if (IsPredecessorGone()) {
      mSession->OnPredecessorGone();
    }
    if (aHello.owns && epoch > mEpoch) {
      mEpoch = epoch;
      mPolicy.OnOwnerContact(epoch, Duration::zero(), SteadyNow());
      EndSession("higher_epoch");
    } else {
      AddToSession(aNode);
      return;
    }
  }
  if (aHello.owns && epoch >= mEpoch) {
    const bool changed = mOwner != aNode || mOwnerEpoch != epoch;
    mEpoch = epoch;
    mOwner = aNode;
    mOwnerEpoch = epoch;
    mPolicy.OnOwnerContact(epoch, Duration::zero(), SteadyNow());
    if (changed) {
      LogInfo("owner_found").With("owner", aNode).With("epoch", epoch);
      mCalls.MarkAllUnsent();
      SendUnsentCalls();
    }
    return;
  }
  const std::optional<OwnerRow>& row = mPolicy.Row();
  if (!aHello.owns && row.has_value() && row->mNode == aNode &&
      epoch >= row->mEpoch) {
    mPolicy.OnOwnershipDenied(row->mEpoch);
  }
  if (!aHello.owns && row.has_value() && row->mNode == aNode &&
      row->mIncarnation != Incarnation(aHello.incarnation)) {
    mPolicy.OnOwnershipDenied(row->mEpoch);
  }
  if (!aHello.owns && mOwner == aNode) {
    OnOwnerLost();
  }
}

void
CellNode::Impl::OnOwnerLost()
{
  mOwner = NodeId();
  mCalls.MarkAllUnsent();
  mPolicy.OnOwnerDisconnected(SteadyNow());
  mShardClaimer.ReadSoon();
}

void
CellNode::Impl::OnPeerClosed(const NodeId& aNode)
{
  mRelayServer.OnNodeGone(aNode);
  if (!mPeers.IsLinked(aNode)) {
    mPeerStates.erase(aNode);
  }
  if (mSession != nullptr) {
    mSession->RemoveNode(aNode);
    return;
  }
  if (mOwner == aNode) {
    LogInfo("owner_link_closed").With("owner", aNode).With("epoch", mEpoch);
    OnOwnerLost();
  }
}

void
CellNode::Impl::OnMessage(const NodeId& aNode,
                          const cellwire::MessageT& aMessage)
{
  switch (aMessage.body.type) {
    case cellwire::Body::Heartbeat:
      OnHeartbeat(aNode, *aMessage.body.AsHeartbeat());
      break;
    case cellwire::Body::Handover:
      mPolicy.OnHandover(Epoch(aMessage.body.AsHandover()->epoch));
      mShardClaimer.ReadSoon();
      break;
    case cellwire::Body::CallerRequest:
      OnPeerCallerRequest(aNode, *aMessage.body.AsCallerRequest());
      break;
    case cellwire::Body::CallerAnswer:
      OnPeerCallerAnswer(aNode, *aMessage.body.AsCallerAnswer());
      break;
    case cellwire::Body::AdviceQuery:
      OnPeerAdviceQuery(aNode, *aMessage.body.AsAdviceQuery());
      break;
    case cellwire::Body::AdviceAnswer:
      OnAdviceAnswer(QueryId(aMessage.body.AsAdviceAnswer()->id),
                     FromWire(*aMessage.body.AsAdviceAnswer()));
      break;
    case cellwire::Body::WorkerCallBatch:
      mRelayServer.OnCalls(aNode, *aMessage.body.AsWorkerCallBatch());
      break;
    case cellwire::Body::WorkerAnswerBatch:
      if (mSession != nullptr) {
        mSession->OnWorkerAnswers(*aMessage.body.AsWorkerAnswerBatch());
      }
      break;
    case cellwire::Body::Hello:
    case cellwire::Body::NONE:
      break;
  }
}

void
CellNode::Impl::OnStaleAnswer(PeerRequest aRequest, std::uint64_t aId)
{
  LogInfo("stale_answer_ignored")
    .With("request", ToText(aRequest))
    .With("id", aId)
    .With("epoch", mEpoch);
  mMetrics.CountStaleAnswer(aRequest);
}

void
CellNode::Impl::OnHeartbeat(const NodeId& aNode,
                            const cellwire::HeartbeatT& aHeartbeat)
{
  const Epoch epoch(aHeartbeat.epoch);
  if (mSession != nullptr || epoch < mEpoch || !aHeartbeat.owns) {
    return;
  }
  if (mOwner != aNode || mOwnerEpoch != epoch) {
    mOwner = aNode;
    mEpoch = epoch;
    mOwnerEpoch = epoch;
    mCalls.MarkAllUnsent();
    SendUnsentCalls();
  }
  const std::chrono::milliseconds storeAge(aHeartbeat.store_age_ms);
  mPolicy.OnOwnerContact(epoch, storeAge, SteadyNow());
  // The store has answered the owner.
  mStore.mActivity->NoteAnswer(BootClock::Now() - BootDuration(storeAge));
  mPolicy.SetBestFitness(aHeartbeat.best_fitness);
}

} // namespace oriolevane::cellnode
