#include "node/nodecore.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"
#include "framework/stablehash.h"

namespace oriolevane::node {

namespace {

constexpr std::size_t kMostRefusals = 20'000;

RequestId
RequestOf(const protocol::CallerCall& aCall)
{
  if (const auto* submit = std::get_if<protocol::SubmitCall>(&aCall.mBody)) {
    return submit->mSpec.mId;
  }
  if (const auto* ask = std::get_if<protocol::StatusCall>(&aCall.mBody)) {
    return ask->mId;
  }
  return std::get<protocol::CancelCall>(aCall.mBody).mId;
}

protocol::RequestStatus
Refusal(const protocol::CallerCall& aCall,
        protocol::RefusalReason aReason,
        std::chrono::milliseconds aRetryAfter)
{
  protocol::RequestStatus status{ .mReason = aReason,
                                  .mRetryAfter = aRetryAfter };
  status.mId = RequestOf(aCall);
  // An earlier call under the same id may be known to the owner that cannot be
  // asked now.
  status.mOutcome = protocol::Outcome::NotKnownYet;
  return status;
}

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

// Calls.

void
NodeCore::On(GatewayCall& aEvent)
{
  const std::uint64_t call = aEvent.mCall.mCall;
  const auto [entry, isNew] = mCalls.emplace(
    call,
    PendingCall{
      .mCall = std::move(aEvent.mCall), .mArrived = mNow, .mSent = mNow });
  if (isNew) {
    SendCall(entry->second);
  }
}

void
NodeCore::On(GatewayCallAbandoned& aEvent)
{
  const auto found = mCalls.find(aEvent.mCall);
  if (found == mCalls.end()) {
    return;
  }
  const PartitionId partition = found->second.mCall.mPartition;
  mCalls.erase(found);
  Feed(partition,
       coordination::CallAbandoned{
         .mOrigin = { mOptions.mNode, mOptions.mIncarnation },
         .mCall = aEvent.mCall });
}

void
NodeCore::SendCall(PendingCall& aPending)
{
  const std::optional<Owner> owner =
    mPartitionOwners.Find(aPending.mCall.mPartition.mValue);
  aPending.mSent = mNow;
  aPending.mSentTo = owner.value_or(Owner{});
  if (!owner.has_value()) {
    return;
  }
  if (owner->mNode != mOptions.mNode) {
    SendTo(owner->mNode, aPending.mCall);
    return;
  }
  const protocol::CallerCall call = aPending.mCall;
  Feed(call.mPartition,
       coordination::CallArrived{
         .mOrigin = { mOptions.mNode, mOptions.mIncarnation }, .mCall = call });
}

// Sends again what a new owner has not seen or a connection may have lost;
// refuses what has waited too long for an owner.
void
NodeCore::ServeCalls()
{
  std::vector<std::uint64_t> again;
  std::vector<std::uint64_t> refused;
  for (const auto& [number, pending] : mCalls) {
    const Owner owner =
      mPartitionOwners.Find(pending.mCall.mPartition.mValue).value_or(Owner{});
    const bool hasOwner = !owner.mNode.Empty();
    if (!hasOwner && mNow - pending.mArrived >= mOptions.mWaitForOwner &&
        pending.mSentTo.mNode.Empty()) {
      refused.push_back(number);
    } else if (hasOwner &&
               (owner != pending.mSentTo ||
                mNow - pending.mSent >= mOptions.mResendCallAfter)) {
      again.push_back(number);
    }
  }
  for (const std::uint64_t number : again) {
    const auto found = mCalls.find(number);
    const bool local = found->second.mSentTo.mNode == mOptions.mNode;
    const Owner owner =
      *mPartitionOwners.Find(found->second.mCall.mPartition.mValue);
    if (local && owner == found->second.mSentTo) {
      found->second.mSent = mNow;
    } else {
      SendCall(found->second);
    }
  }
  for (const std::uint64_t number : refused) {
    const auto found = mCalls.find(number);
    OnReply({ number,
              Refusal(found->second.mCall,
                      protocol::RefusalReason::Recovering,
                      mOptions.mRecoveringRetryAfter) });
  }
}

void
NodeCore::OnReply(const protocol::CallerReply& aReply)
{
  if (mCalls.erase(aReply.mCall) > 0) {
    mActions.emplace_back(ReplyToGateway{ aReply });
  }
}

// A reply is taken only for the request it names, as numbers of calls may meet
// those of an earlier process; and "not run" only from the owner that was asked
// last, as a later owner may have accepted the copy it was sent.
void
NodeCore::OnPeerReply(const NodeId& aFrom, const protocol::CallerReply& aReply)
{
  const auto found = mCalls.find(aReply.mCall);
  if (found == mCalls.end() ||
      RequestOf(found->second.mCall) != aReply.mStatus.mId) {
    return;
  }
  const bool refused = aReply.mStatus.mOutcome == protocol::Outcome::NotRun;
  if (!refused || found->second.mSentTo.mNode == aFrom) {
    OnReply(aReply);
  }
}

void
NodeCore::Reply(const coordination::CallOrigin& aOrigin,
                const protocol::CallerReply& aReply)
{
  if (aOrigin.mNode != mOptions.mNode) {
    if (aReply.mStatus.mOutcome == protocol::Outcome::NotRun) {
      mRefusals.Add(aOrigin, aReply, mNow);
    }
    SendTo(aOrigin.mNode, aReply);
  } else if (aOrigin.mIncarnation == mOptions.mIncarnation) {
    OnReply(aReply);
  }
}

// Peers.

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

// Messages between coordinators and placers.

void
NodeCore::ToPlacer(ShardId aShard, protocol::ToPlacer aMessage)
{
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

// Coordinators.

void
NodeCore::Feed(PartitionId aPartition,
               const coordination::CoordinatorEvent& aEvent)
{
  const auto found = mPartitions.find(aPartition);
  if (found != mPartitions.end()) {
    Perform(aPartition, found->second.mCoordinator.Handle(aEvent, mNow));
  }
}

void
NodeCore::FeedAll(const coordination::CoordinatorEvent& aEvent)
{
  for (auto& [partition, owned] : mPartitions) {
    Perform(partition, owned.mCoordinator.Handle(aEvent, mNow));
  }
}

void
NodeCore::Perform(PartitionId aPartition,
                  std::vector<coordination::CoordinatorAction> aActions)
{
  for (coordination::CoordinatorAction& action : aActions) {
    Perform(aPartition, action);
  }
}

void
NodeCore::Perform(PartitionId aPartition,
                  coordination::CoordinatorAction& aAction)
{
  if (auto* send = std::get_if<coordination::SendToPlacer>(&aAction)) {
    ToPlacer(send->mShard, std::move(send->mMessage));
  } else if (auto* append = std::get_if<coordination::AppendRecord>(&aAction)) {
    const Epoch epoch = mPartitions.at(aPartition).mEpoch;
    mActions.emplace_back(AppendToJournal{
      aPartition, epoch, append->mSequence, std::move(append->mBytes) });
  } else if (auto* reply = std::get_if<coordination::ReplyToCaller>(&aAction)) {
    Reply(reply->mOrigin, reply->mReply);
  } else if (auto* sample =
               std::get_if<coordination::ObjectiveSample>(&aAction)) {
    mActions.emplace_back(std::move(*sample));
  }
}

void
NodeCore::On(RecordsCommitted& aEvent)
{
  const auto found = mPartitions.find(aEvent.mPartition);
  if (found == mPartitions.end() || found->second.mEpoch != aEvent.mEpoch) {
    return;
  }
  for (const std::uint64_t sequence : aEvent.mSequences) {
    Feed(aEvent.mPartition, coordination::RecordCommitted{ sequence });
  }
}

void
NodeCore::On(RecordsFailed& aEvent)
{
  const auto found = mPartitions.find(aEvent.mPartition);
  if (found == mPartitions.end() || found->second.mEpoch != aEvent.mEpoch) {
    return;
  }
  for (const std::uint64_t sequence : aEvent.mSequences) {
    Feed(aEvent.mPartition,
         coordination::RecordFailed{ sequence, aEvent.mSurelyNotWritten });
  }
}

void
NodeCore::On(PartitionGained& aEvent)
{
  coordination::Coordinator coordinator(
    { .mPartition = aEvent.mPartition,
      .mEpoch = aEvent.mEpoch,
      .mShardCount = mOptions.mShardCount,
      .mPartitionCount = mOptions.mPartitionCount,
      .mSeed = CombineHash(mOptions.mSeed, aEvent.mPartition.mValue) });
  absl::Status restored = absl::OkStatus();
  if (!aEvent.mRecovered.mSnapshot.empty()) {
    restored = coordinator.Restore(aEvent.mRecovered.mSnapshot);
  }
  for (const std::string& record : aEvent.mRecovered.mRecords) {
    restored.Update(coordinator.Replay(record));
  }
  if (!restored.ok()) {
    LogError("partition_recovery_failed")
      .With("partition", aEvent.mPartition)
      .With("error", std::string(restored.message()));
    return;
  }
  LogInfo("partition_gained")
    .With("partition", aEvent.mPartition)
    .With("epoch", aEvent.mEpoch)
    .With("records", aEvent.mRecovered.mRecords.size())
    .With("requests", coordinator.LiveRequests());
  mPartitions.erase(aEvent.mPartition);
  const auto entry =
    mPartitions
      .emplace(aEvent.mPartition,
               OwnedPartition{ aEvent.mEpoch, std::move(coordinator) })
      .first;
  mPartitionOwners.Learn(
    aEvent.mPartition.mValue,
    { mOptions.mNode, mOptions.mIncarnation, aEvent.mEpoch });
  if (mPolicy != nullptr) {
    Feed(aEvent.mPartition, coordination::PolicyChanged{ mPolicy });
  }
  Feed(aEvent.mPartition, coordination::StoreHealth{ mStoreAvailable });
  for (const auto& [shard, digest] : mDigests) {
    Feed(aEvent.mPartition, coordination::DigestReceived{ digest });
  }
  Perform(aEvent.mPartition, entry->second.mCoordinator.BeginServing(mNow));
  mNextHeartbeat = mNow;
}

void
NodeCore::On(PartitionLost& aEvent)
{
  const auto found = mPartitions.find(aEvent.mPartition);
  if (found == mPartitions.end() || found->second.mEpoch > aEvent.mEpoch) {
    return;
  }
  LogInfo("partition_lost")
    .With("partition", aEvent.mPartition)
    .With("epoch", aEvent.mEpoch);
  mPartitionOwners.Forget(aEvent.mPartition.mValue, found->second.mEpoch);
  mPartitions.erase(found);
}

// Placers.

void
NodeCore::Feed(ShardId aShard, const placement::PlacerEvent& aEvent)
{
  const auto found = mShards.find(aShard);
  if (found != mShards.end()) {
    Perform(found->second.mPlacer->Handle(aEvent, mNow));
  }
}

void
NodeCore::FeedAllShards(const placement::PlacerEvent& aEvent)
{
  for (auto& [shard, owned] : mShards) {
    Perform(owned.mPlacer->Handle(aEvent, mNow));
  }
}

void
NodeCore::Perform(std::vector<placement::PlacerAction> aActions)
{
  for (placement::PlacerAction& action : aActions) {
    Perform(action);
  }
}

void
NodeCore::Perform(placement::PlacerAction& aAction)
{
  if (auto* command = std::get_if<placement::SendToWorker>(&aAction)) {
    const auto worker = mWorkers.find(command->mCommand.mWorker);
    if (worker != mWorkers.end()) {
      mActions.emplace_back(
        SendCommand{ worker->second.mAddress, std::move(command->mCommand) });
    }
  } else if (auto* message =
               std::get_if<placement::SendToCoordinator>(&aAction)) {
    ToCoordinator(std::move(message->mMessage));
  } else if (auto* note = std::get_if<placement::TrailNote>(&aAction)) {
    LogDebug("placement_note")
      .With("request", note->mRequest)
      .With("note", note->mEvent)
      .With("detail", note->mDetail);
  }
}

void
NodeCore::On(ShardGained& aEvent)
{
  LogInfo("shard_gained")
    .With("shard", aEvent.mShard)
    .With("epoch", aEvent.mEpoch);
  auto placer = std::make_unique<placement::Placer>(placement::PlacerOptions{
    .mShard = aEvent.mShard,
    .mEpoch = aEvent.mEpoch,
    .mOwner = mOptions.mNode,
    .mSeed = CombineHash(mOptions.mSeed, aEvent.mShard.mValue),
    .mTaskLease = mOptions.mTaskLease,
    .mHeartbeatEvery = mOptions.mWorkerHeartbeatEvery,
    .mShardCount = mOptions.mShardCount });
  mShards.erase(aEvent.mShard);
  const auto entry =
    mShards
      .emplace(aEvent.mShard, OwnedShard{ aEvent.mEpoch, std::move(placer) })
      .first;
  mShardOwners.Learn(aEvent.mShard.mValue,
                     { mOptions.mNode, mOptions.mIncarnation, aEvent.mEpoch });
  if (mPolicy != nullptr) {
    Feed(aEvent.mShard, placement::PolicyChanged{ mPolicy });
  }
  Feed(aEvent.mShard, placement::OwnershipConfirmed{ mOwnershipConfirmed });
  ListWorkers(aEvent.mShard, entry->second);
  mNextHeartbeat = mNow;
}

void
NodeCore::On(ShardLost& aEvent)
{
  const auto found = mShards.find(aEvent.mShard);
  if (found == mShards.end() || found->second.mEpoch > aEvent.mEpoch) {
    return;
  }
  LogInfo("shard_lost")
    .With("shard", aEvent.mShard)
    .With("epoch", aEvent.mEpoch);
  mShardOwners.Forget(aEvent.mShard.mValue, found->second.mEpoch);
  mShards.erase(found);
}

void
NodeCore::On(HostsListed& aEvent)
{
  for (protocol::WorkerInfo& worker : aEvent.mWorkers) {
    mWorkers[worker.mWorker] = worker;
  }
  std::map<ShardId, std::vector<protocol::WorkerInfo>> byShard;
  for (protocol::WorkerInfo& worker : aEvent.mWorkers) {
    byShard[ShardOf(worker.mRack)].push_back(std::move(worker));
  }
  for (auto& [shard, owned] : mShards) {
    Feed(shard, placement::WorkersListed{ std::move(byShard[shard]) });
  }
}

// A new placer starts from the last list that the node has seen.
void
NodeCore::ListWorkers(ShardId aShard, OwnedShard& aOwned)
{
  placement::WorkersListed listed;
  for (const auto& [id, worker] : mWorkers) {
    if (ShardOf(worker.mRack) == aShard) {
      listed.mWorkers.push_back(worker);
    }
  }
  std::sort(listed.mWorkers.begin(),
            listed.mWorkers.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mWorker < aRight.mWorker;
            });
  if (!listed.mWorkers.empty()) {
    Perform(aOwned.mPlacer->Handle(listed, mNow));
  }
}

void
NodeCore::On(protocol::WorkerReport& aEvent)
{
  const ShardId shard = aEvent.mShard;
  Feed(shard, std::move(aEvent));
}

void
NodeCore::On(placement::WorkerUnreachable& aEvent)
{
  const auto worker = mWorkers.find(aEvent.mWorker);
  if (worker != mWorkers.end()) {
    Feed(ShardOf(worker->second.mRack), aEvent);
  }
}

// The node as a whole.

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
    FeedAllShards(placement::OwnershipConfirmed{ confirmed });
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
