#include "node/nodecore.h"

#include <utility>

#include "framework/log.h"
#include "framework/stablehash.h"

namespace oriolevane::node {

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

} // namespace oriolevane::node
