#include "node/internal/runtime.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"

namespace oriolevane::node {

void
Runtime::Perform(NodeAction& aAction)
{
  if (auto* send = std::get_if<SendToPeer>(&aAction)) {
    mPeers->Send(send->mPeer, send->mMessage);
  } else if (auto* command = std::get_if<SendCommand>(&aAction)) {
    mWorkers->Send(command->mAddress, std::move(command->mCommand));
  } else if (auto* append = std::get_if<AppendToJournal>(&aAction)) {
    Append(*append);
  } else if (auto* snapshot = std::get_if<SaveSnapshot>(&aAction)) {
    mJournal
      ->SaveSnapshot(snapshot->mPartition,
                     snapshot->mEpoch,
                     snapshot->mSequence,
                     std::move(snapshot->mBytes))
      .IgnoreError();
  } else if (auto* partition = std::get_if<PartitionHandedOver>(&aAction)) {
    Release({ membership::RowKind::Partition, partition->mPartition.mValue });
  } else if (auto* shard = std::get_if<ShardHandedOver>(&aAction)) {
    mMembership->Release({ membership::RowKind::Shard, shard->mShard.mValue });
  } else if (auto* reply = std::get_if<ReplyToGateway>(&aAction)) {
    mCalls.Deliver(reply->mReply);
  } else if (auto* sample =
               std::get_if<coordination::ObjectiveSample>(&aAction)) {
    mMetrics.ObserveWait(*sample);
    mBurn.Add(*sample, std::chrono::steady_clock::now());
  }
}

void
Runtime::Append(AppendToJournal& aAppend)
{
  const absl::Status queued = mJournal->Append(
    aAppend.mPartition, aAppend.mSequence, std::move(aAppend.mBytes));
  if (!queued.ok()) {
    mCore.TryPost(RecordsFailed{
      aAppend.mPartition, aAppend.mEpoch, { aAppend.mSequence }, true });
  }
}

// A partition's row is released once all that was appended is settled.
void
Runtime::Release(const membership::RowRef& aRow)
{
  const absl::Status queued = mJournal->Flush([this, aRow] {
    mJournal->Close(PartitionId(aRow.mNumber)).IgnoreError();
    mMembership->Release(aRow);
  });
  if (!queued.ok()) {
    mMembership->Release(aRow);
  }
}

void
Runtime::OnPeerMessage(const codec::Envelope& aFrom,
                       codec::PeerMessage aMessage)
{
  if (const auto* pull = std::get_if<codec::ConfigurationPull>(&aMessage)) {
    mSync->OnPull(aFrom.mFrom, *pull);
    return;
  }
  if (const auto* body = std::get_if<codec::ConfigurationBody>(&aMessage)) {
    mSync->OnBody(*body);
    return;
  }
  if (const auto* heartbeat = std::get_if<codec::Heartbeat>(&aMessage)) {
    mNodes.Learn(*heartbeat);
    mSync->OnHeartbeat(*heartbeat);
    if (heartbeat->mLeaving && mMembership != nullptr) {
      mMembership->ReadSoon();
    }
  }
  mCore.TryPost(PeerMessageArrived{
    aFrom.mFrom, aFrom.mFromIncarnation, std::move(aMessage) });
}

void
Runtime::OnAppendOutcome(const journal::AppendOutcome& aOutcome)
{
  if (aOutcome.mResult == journal::AppendResult::Committed) {
    mMetrics.CountJournalRecords(aOutcome.mSequences.size());
    mCore.Post(RecordsCommitted{
      aOutcome.mPartition, aOutcome.mEpoch, aOutcome.mSequences });
    return;
  }
  if (aOutcome.mResult == journal::AppendResult::Deposed) {
    mCore.Post(PartitionLost{ aOutcome.mPartition, aOutcome.mEpoch });
    return;
  }
  mCore.Post(RecordsFailed{
    aOutcome.mPartition, aOutcome.mEpoch, aOutcome.mSequences, true });
}

void
Runtime::OnAcquired(const membership::AcquiredRow& aRow)
{
  if (aRow.mRow.mKind == membership::RowKind::Shard) {
    mCore.Post(ShardGained{ ShardId(aRow.mRow.mNumber), aRow.mEpoch });
  } else {
    mRecovery->Recover(PartitionId(aRow.mRow.mNumber), aRow.mEpoch);
  }
}

void
Runtime::OnDeposed(const membership::DeposedRow& aRow)
{
  if (aRow.mRow.mKind == membership::RowKind::Shard) {
    mCore.Post(ShardLost{ ShardId(aRow.mRow.mNumber), aRow.mEpoch });
    return;
  }
  mJournal->Close(PartitionId(aRow.mRow.mNumber)).IgnoreError();
  mCore.Post(PartitionLost{ PartitionId(aRow.mRow.mNumber), aRow.mEpoch });
}

void
Runtime::OnHandOver(const membership::RowRef& aRow)
{
  if (aRow.mKind == membership::RowKind::Shard) {
    mCore.Post(HandOverShard{ ShardId(aRow.mNumber) });
  } else {
    mCore.Post(HandOverPartition{ PartitionId(aRow.mNumber) });
  }
}

void
Runtime::OnMembers(const std::vector<membership::Member>& aMembers)
{
  mNodes.SetMembers(aMembers);
  std::vector<peers::PeerMember> peerMembers;
  MembersListed listed;
  for (const membership::Member& member : aMembers) {
    peerMembers.push_back(
      { member.mNode, member.mIncarnation, member.mAddress });
    listed.mMembers.push_back(member.mNode);
  }
  mPeers->SetMembers(std::move(peerMembers));
  mJournal->SetLiveNodes(
    static_cast<std::uint32_t>(std::max<std::size_t>(aMembers.size(), 1)));
  mCore.Post(std::move(listed));
}

void
Runtime::OnPolicy(const std::shared_ptr<const policy::CellPolicy>& aPolicy)
{
  mBurn.SetPolicy(aPolicy);
  mCore.Post(coordination::PolicyChanged{ aPolicy });
  if (mMembership != nullptr) {
    mMembership->SetDrained(aPolicy->mDrainedNodes);
  }
}

void
Runtime::ListHosts()
{
  absl::StatusOr<std::vector<store::HostEntry>> hosts =
    mPlatform.mHosts.mList();
  if (!hosts.ok()) {
    LogDebug("host_list_unavailable").With("error", hosts.status().ToString());
    return;
  }
  {
    const std::lock_guard lock(mHostsMutex);
    mHosts = *hosts;
  }
  mCore.Post(HostsListed{ *std::move(hosts) });
}

} // namespace oriolevane::node
