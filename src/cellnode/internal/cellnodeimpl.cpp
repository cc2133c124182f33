#include "cellnode/internal/cellnodeimpl.h"

#include <algorithm>
#include <utility>

#include "cellnode/internal/peermessages.h"
#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kTickEvery = 50ms;
constexpr std::chrono::milliseconds kHeartbeatEvery = 200ms;
constexpr std::chrono::milliseconds kAnnounceTimeout = 900ms;
constexpr std::chrono::milliseconds kDialEvery = 600ms;
constexpr std::chrono::milliseconds kAnnounceAgain = 500ms;
// An owner gives way to a node if its own fitness is below this share of the
// other's, once it has owned the shard for a while.
constexpr double kUnfitShare = 0.5;
constexpr std::chrono::milliseconds kOwnAtLeast = 1500ms;
// After the signal to stop, requests on open connections are still answered for
// this share of the time that is left.
constexpr double kServeShareOfGrace = 0.55;
// The process ends by then, whatever is open.
constexpr double kLongestShareOfGrace = 0.85;
const std::string kNodeTable = "nodes";

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

CellNode::Impl::Impl(eventloop::EventLoop& aLoop,
                     NodeOptions aOptions,
                     RowStoreHooks aStore,
                     UpstreamHooks aUpstreams,
                     OutsideFormats aFormats)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mStore(std::move(aStore))
  , mUpstreams(std::move(aUpstreams))
  , mFormats(std::move(aFormats))
  , mPeers(
      aLoop,
      { .mOnHello =
          [this](const NodeId& aNode, const cellwire::HelloT& aHello) {
            OnHello(aNode, aHello);
          },
        .mOnMessage =
          [this](const NodeId& aNode, const cellwire::MessageT& aMessage) {
            OnMessage(aNode, aMessage);
          },
        .mOnClosed = [this](const NodeId& aNode) { OnPeerClosed(aNode); } })
  , mPolicy({ .mNode = mOptions.mNode, .mFitness = mOptions.mFitness })
  , mClaim(mOptions,
           mStore,
           mPolicy,
           { .mHighestEpoch = [this] { return mEpoch; },
             .mOnOwnerRow = [this](const OwnerRow& aRow) { OnOwnerRow(aRow); },
             .mOnClaimed =
               [this](const ClaimedShard& aShard) { BeginSession(aShard); } })
{
  mTimer = mLoop.MakeTimer([this] { Tick(); });
  mConfigurationWatch = std::make_unique<TableWatch>(
    mLoop,
    mStore,
    TableWatchOptions{ .mTable = mFormats.mConfigurationRow.mTable,
                       .mPart = mFormats.mConfigurationRow.mPart },
    TableWatchHooks{
      .mOnRow = [this](const Row& aRow) { OnConfiguration(aRow); },
      .mOnRemoved = [](const std::string&) {},
      .mOnCurrent = {} });
}

CellNode::Impl::~Impl()
{
  *mAlive = false;
}

absl::Status
CellNode::Impl::Start()
{
  const auto address = eventloop::ParseSocketAddress(mOptions.mPeerAddress);
  if (!address.has_value()) {
    return absl::InvalidArgumentError("not an address: " +
                                      mOptions.mPeerAddress);
  }
  if (absl::Status status = mPeers.Listen(*address); !status.ok()) {
    return status;
  }
  SayHello();
  mConfigurationWatch->Start();
  Tick();
  return absl::OkStatus();
}

void
CellNode::Impl::Tick()
{
  const TimePoint now = Now();
  mTimer->StartAfter(kTickEvery);
  mEndedSessions.clear();
  AnnounceNode();
  if (mSession != nullptr) {
    if (now >= mNextHeartbeat) {
      mNextHeartbeat = now + kHeartbeatEvery;
      SendHeartbeats();
    }
    DialMissing();
    GiveWay();
  } else if (!mStopping) {
    mClaim.Advance(now);
  }
  mCalls.Expire(now);
  if (mStopping) {
    EndWhenStopped(now);
  }
}

void
CellNode::Impl::EndWhenStopped(TimePoint aNow)
{
  const bool idle = mSession == nullptr && mCalls.Empty();
  const bool served =
    aNow >= mStopBegan + mOptions.mStopGrace * kServeShareOfGrace;
  const bool late =
    aNow >= mStopBegan + mOptions.mStopGrace * kLongestShareOfGrace;
  if (!(idle && served) && !late) {
    return;
  }
  if (!mOnStopped) {
    return;
  }
  mCalls.AnswerAll();
  std::exchange(mOnStopped, nullptr)();
}

void
CellNode::Impl::AnnounceNode()
{
  const TimePoint now = Now();
  if (mAnnounced || mAnnouncing || now < mNextAnnounce) {
    return;
  }
  mAnnouncing = true;
  mStore.mCommit(
    { .mConditions = {},
      .mWrites = { { .mKey = { .mTable = kNodeTable,
                               .mPart = "",
                               .mName = mOptions.mNode.mValue },
                     .mValue = mOptions.mPeerAddress } },
      .mRemovals = {} },
    kAnnounceTimeout,
    [this, alive = mAlive](const absl::StatusOr<CommitAnswer>& aAnswer) {
      if (!*alive) {
        return;
      }
      mAnnouncing = false;
      mAnnounced = aAnswer.ok() && aAnswer->mApplied;
      mNextAnnounce = Now() + kAnnounceAgain;
      if (!mAnnounced) {
        LogWarning("announce_failed")
          .With("status", aAnswer.status().ToString());
      }
    });
}

void
CellNode::Impl::OnOwnerRow(const OwnerRow& aRow)
{
  mEpoch = std::max(mEpoch, aRow.mEpoch);
  const auto address = eventloop::ParseSocketAddress(aRow.mAddress);
  if (address.has_value() && aRow.mNode != mOptions.mNode &&
      !mPeers.IsLinked(aRow.mNode)) {
    mPeers.Dial(*address);
  }
}

void
CellNode::Impl::BeginSession(const ClaimedShard& aShard)
{
  if (mSession != nullptr) {
    return;
  }
  LogInfo("owning")
    .With("epoch", aShard.mRow.mEpoch)
    .With("row_version", aShard.mVersion);
  mMetrics.CountOwnership();
  mEpoch = aShard.mRow.mEpoch;
  mPredecessor = aShard.mPredecessor;
  mOwner = NodeId();
  mOwnedSince = Now();
  mGivingWay = false;
  mSession = std::make_unique<OwnerSession>(
    mLoop,
    mOptions,
    mStore,
    mUpstreams,
    mFormats,
    aShard.mRow,
    aShard.mVersion,
    aShard.mSince,
    OwnerSessionHooks{
      .mOnLost = [this] { EndSession("lost"); },
      .mOnServing = [this] { SayHello(); },
      .mOnReleased = [this] { OnReleased(); },
      .mOnStage = [this](Stage aStage,
                         Duration aTime) { mMetrics.Observe(aStage, aTime); },
      .mSendAdviceQuery =
        [this](
          const NodeId& aNode, QueryId aId, const jobs::AdviceQuery& aQuery) {
          SendQuery(aNode, aId, aQuery);
        } });
  for (const NodeId& node : mPeers.Nodes()) {
    mSession->AddAsker(node);
  }
  if (!mPredecessor.has_value() || mPredecessor->mReleased ||
      mPredecessor->mNode == mOptions.mNode) {
    mSession->OnPredecessorGone();
  }
  if (mConfiguration.has_value()) {
    mSession->Configure(*mConfiguration);
  }
  FollowNodes();
  SayHello();
  SendUnsentCalls();
}

void
CellNode::Impl::FollowNodes()
{
  mNodeWatch = std::make_unique<TableWatch>(
    mLoop,
    mStore,
    TableWatchOptions{ .mTable = kNodeTable, .mPart = "", .mWait = 5000ms },
    TableWatchHooks{ .mOnRow =
                       [this](const Row& aRow) {
                         mNodeAddresses[NodeId(aRow.mKey.mName)] = aRow.mValue;
                       },
                     .mOnRemoved =
                       [this](const std::string& aName) {
                         mNodeAddresses.erase(NodeId(aName));
                       },
                     .mOnCurrent = {} });
  mNodeWatch->Start();
}

void
CellNode::Impl::EndSession(std::string_view aReason)
{
  if (mSession == nullptr) {
    return;
  }
  LogWarning("not_owning").With("epoch", mEpoch).With("reason", aReason);
  mSession->Halt();
  mEndedSessions.push_back(std::move(mSession));
  mNodeWatch.reset();
  mNodeAddresses.clear();
  OnOwnerLost();
  SayHello();
}

void
CellNode::Impl::OnReleased()
{
  const Epoch epoch = mEpoch;
  EndSession("released");
  // The others read the owner row and follow if it does not.
  cellwire::HandoverT handover;
  handover.epoch = epoch.mValue;
  mPeers.Send(FittestPeer(), handover);
}

void
CellNode::Impl::SayHello()
{
  cellwire::HelloT hello;
  hello.node = mOptions.mNode.mValue;
  hello.address = mOptions.mPeerAddress;
  hello.incarnation = mOptions.mIncarnation.mValue;
  hello.epoch = mEpoch.mValue;
  hello.owns = mSession != nullptr;
  hello.fitness = static_cast<float>(mOptions.mFitness);
  mPeers.SetHello(std::move(hello));
}

void
CellNode::Impl::SendHeartbeats()
{
  const std::uint32_t age = ToWireMillis(mSession->StoreAge(Now()));
  const double best = std::max(mOptions.mFitness, PeerFitness(FittestPeer()));
  for (const NodeId& node : mPeers.Nodes()) {
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
  for (const NodeId& node : mPeers.Nodes()) {
    if (fittest.Empty() || PeerFitness(node) > PeerFitness(fittest)) {
      fittest = node;
    }
  }
  return fittest;
}

double
CellNode::Impl::PeerFitness(const NodeId& aNode) const
{
  const auto found = mPeerFitness.find(aNode);
  return found == mPeerFitness.end() ? 0.0 : found->second;
}

// A host that is too small for the shard owns it only until a larger one can.
void
CellNode::Impl::GiveWay()
{
  const bool unfit =
    mOptions.mFitness < kUnfitShare * PeerFitness(FittestPeer());
  if (unfit && !mGivingWay && mSession->IsServing() &&
      Now() >= mOwnedSince + kOwnAtLeast) {
    LogInfo("giving_way").With("to", FittestPeer()).With("epoch", mEpoch);
    mGivingWay = true;
    mSession->Release();
  }
}

// Nodes that cannot reach the store learn of a new owner this way.
void
CellNode::Impl::DialMissing()
{
  const TimePoint now = Now();
  if (now < mNextDial) {
    return;
  }
  mNextDial = now + kDialEvery;
  for (const auto& [node, text] : mNodeAddresses) {
    const auto address = eventloop::ParseSocketAddress(text);
    if (address.has_value() && node != mOptions.mNode &&
        !mPeers.IsLinked(node)) {
      mPeers.Dial(*address);
    }
  }
}

void
CellNode::Impl::OnHello(const NodeId& aNode, const cellwire::HelloT& aHello)
{
  const Epoch epoch(aHello.epoch);
  mPeerFitness[aNode] = aHello.fitness;
  if (mSession != nullptr) {
    if (mPredecessor.has_value() && mPredecessor->mNode == aNode &&
        mPredecessor->mIncarnation != Incarnation(aHello.incarnation)) {
      mSession->OnPredecessorGone();
    }
    if (aHello.owns && epoch > mEpoch) {
      mEpoch = epoch;
      EndSession("higher_epoch");
    } else {
      mSession->AddAsker(aNode);
      return;
    }
  }
  if (aHello.owns && epoch >= mEpoch) {
    const bool changed = mOwner != aNode || mEpoch != epoch;
    mEpoch = epoch;
    mOwner = aNode;
    mPolicy.OnOwnerHeard(epoch, Duration::zero(), Now());
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
    mPolicy.OnOwnerDenied(row->mEpoch);
  }
  if (!aHello.owns && row.has_value() && row->mNode == aNode &&
      row->mIncarnation != Incarnation(aHello.incarnation)) {
    mPolicy.OnOwnerDenied(row->mEpoch);
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
  mPolicy.OnOwnerGone(Now());
  mClaim.ReadSoon();
}

void
CellNode::Impl::OnPeerClosed(const NodeId& aNode)
{
  if (mSession != nullptr) {
    mSession->RemoveAsker(aNode);
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
      mClaim.ReadSoon();
      break;
    case cellwire::Body::CallerRequest:
      OnPeerCall(aNode, *aMessage.body.AsCallerRequest());
      break;
    case cellwire::Body::CallerAnswer: {
      const cellwire::CallerAnswerT& answer = *aMessage.body.AsCallerAnswer();
      mCalls.Answer(SendId(answer.id), FromWire(answer));
      break;
    }
    case cellwire::Body::AdviceQuery:
      OnPeerQuery(aNode, *aMessage.body.AsAdviceQuery());
      break;
    case cellwire::Body::AdviceAnswer:
      OnPeerAdvice(*aMessage.body.AsAdviceAnswer());
      break;
    case cellwire::Body::Hello:
    case cellwire::Body::NONE:
      break;
  }
}

void
CellNode::Impl::OnHeartbeat(const NodeId& aNode,
                            const cellwire::HeartbeatT& aHeartbeat)
{
  const Epoch epoch(aHeartbeat.epoch);
  if (mSession != nullptr || epoch < mEpoch || !aHeartbeat.owns) {
    return;
  }
  if (mOwner != aNode) {
    mOwner = aNode;
    mEpoch = epoch;
    SendUnsentCalls();
  }
  mPolicy.OnOwnerHeard(
    epoch, std::chrono::milliseconds(aHeartbeat.store_age_ms), Now());
  mPolicy.SetBestFitness(aHeartbeat.best_fitness);
}

void
CellNode::Impl::OnPeerCall(const NodeId& aNode,
                           const cellwire::CallerRequestT& aCall)
{
  if (mSession == nullptr) {
    // The sender looks for the owner again.
    SayHello();
    return;
  }
  mSession->Serve(
    FromWire(aCall),
    [this, alive = mAlive, aNode, id = aCall.id](const CallerAnswer& aAnswer) {
      if (*alive) {
        mPeers.Send(aNode, ToWire(id, aAnswer));
      }
    });
}

void
CellNode::Impl::SendQuery(const NodeId& aNode,
                          QueryId aId,
                          const jobs::AdviceQuery& aQuery)
{
  if (aNode == mOptions.mNode) {
    Advise(aQuery,
           [this, alive = mAlive, aId](const jobs::AdviceAnswer& aAnswer) {
             if (*alive && mSession != nullptr) {
               mSession->OnAdvice(aId, aAnswer);
             }
           });
    return;
  }
  mPeers.Send(aNode, ToWire(aId.mValue, aQuery));
}

void
CellNode::Impl::Advise(const jobs::AdviceQuery& aQuery,
                       std::function<void(const jobs::AdviceAnswer&)> aDone)
{
  mUpstreams.mAdvise(
    aQuery,
    [this, alive = mAlive, sentAt = Now(), done = std::move(aDone)](
      const jobs::AdviceAnswer& aAnswer) {
      if (*alive) {
        mMetrics.Observe(Stage::Advice, Now() - sentAt);
        done(aAnswer);
      }
    });
}

void
CellNode::Impl::OnPeerQuery(const NodeId& aNode,
                            const cellwire::AdviceQueryT& aQuery)
{
  Advise(
    FromWire(aQuery),
    [this, alive = mAlive, aNode, aQuery](const jobs::AdviceAnswer& aAnswer) {
      if (*alive) {
        mPeers.Send(aNode, ToWire(aQuery, aAnswer));
      }
    });
}

void
CellNode::Impl::OnPeerAdvice(const cellwire::AdviceAnswerT& aAnswer)
{
  if (mSession != nullptr) {
    mSession->OnAdvice(QueryId(aAnswer.id), FromWire(aAnswer));
  }
}

void
CellNode::Impl::Handle(CallerRequest aRequest, CallerReply aReply)
{
  if (mConfiguration.has_value()) {
    aRequest.mVersion = mConfiguration->mVersion;
  }
  const TimePoint arrived = Now();
  CallerReply reply =
    [this, arrived, inner = std::move(aReply)](const CallerAnswer& aAnswer) {
      mMetrics.Observe(Stage::Answer, Now() - arrived);
      mMetrics.CountAnswer(aAnswer.mKind);
      inner(aAnswer);
    };
  SendCall(mCalls.Add(std::move(aRequest), std::move(reply), arrived));
}

void
CellNode::Impl::SendCall(CallId aId)
{
  const CallerRequest* request = mCalls.Find(aId);
  if (request == nullptr) {
    return;
  }
  const SendId send = mCalls.NextSend();
  if (mSession != nullptr) {
    const CallerRequest copy = *request;
    mCalls.MarkSent(aId, send, mOptions.mNode);
    mSession->Serve(copy,
                    [this, alive = mAlive, send](const CallerAnswer& aAnswer) {
                      if (*alive) {
                        mCalls.Answer(send, aAnswer);
                      }
                    });
    return;
  }
  if (mOwner.Empty()) {
    return;
  }
  if (mPeers.Send(mOwner, ToWire(send.mValue, *request))) {
    mCalls.MarkSent(aId, send, mOwner);
  }
}

void
CellNode::Impl::SendUnsentCalls()
{
  for (const CallId id : mCalls.Unsent()) {
    SendCall(id);
  }
}

void
CellNode::Impl::OnConfiguration(const Row& aRow)
{
  if (aRow.mKey.mName != mFormats.mConfigurationRow.mName) {
    return;
  }
  absl::StatusOr<jobs::CellConfiguration> configuration =
    mFormats.mDecodeConfiguration(aRow.mValue);
  if (!configuration.ok()) {
    LogError("configuration_refused")
      .With("row_version", aRow.mVersion)
      .With("status", configuration.status().ToString());
    return;
  }
  if (mConfiguration.has_value() &&
      configuration->mVersion < mConfiguration->mVersion) {
    return;
  }
  LogInfo("configuration_in_force")
    .With("version", configuration->mVersion)
    .With("queues", configuration->mQueues.size());
  mConfiguration = *std::move(configuration);
  if (mSession != nullptr) {
    mSession->Configure(*mConfiguration);
  }
}

bool
CellNode::Impl::IsReady() const
{
  if (mStopping || !mConfiguration.has_value()) {
    return false;
  }
  return mSession != nullptr ? mSession->IsServing() : !mOwner.Empty();
}

void
CellNode::Impl::Stop(std::function<void()> aDone)
{
  if (mStopping) {
    return;
  }
  mStopping = true;
  mStopBegan = Now();
  mOnStopped = std::move(aDone);
  if (mSession != nullptr) {
    mSession->Release();
  }
}

NodeStatus
CellNode::Impl::Status() const
{
  NodeStatus status;
  status.mOwnsShard = mSession != nullptr;
  status.mEpoch = mEpoch;
  status.mLinks = mPeers.Nodes().size();
  if (mConfiguration.has_value()) {
    status.mVersion = mConfiguration->mVersion;
  }
  if (mSession != nullptr) {
    status.mCounts = mSession->Counts();
    status.mStoreAge = std::chrono::duration_cast<std::chrono::milliseconds>(
      mSession->StoreAge(Now()));
  }
  return status;
}

} // namespace oriolevane::cellnode
