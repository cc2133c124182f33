#include "node/nodecore.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"
#include "framework/stablehash.h"

namespace oriolevane::node {

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
  Feed(aEvent.mShard, placement::OwnershipConfirmation{ mOwnershipConfirmed });
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

} // namespace oriolevane::node
