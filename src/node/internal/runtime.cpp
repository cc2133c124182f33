#include "node/internal/runtime.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "framework/log.h"
#include "framework/stablehash.h"

namespace oriolevane::node {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kConfigurationPollEvery{ 1'000 };
constexpr milliseconds kAskAgainAfter{ 1'000 };
constexpr milliseconds kStopPoll{ 20 };
constexpr std::size_t kWorkerThreads = 8;

// Differs between starts on any host; nothing has to agree on it.
Incarnation
FreshIncarnation()
{
  std::random_device device;
  return Incarnation((static_cast<std::uint64_t>(device()) << 32U) | device());
}

RequestId
IdOf(const protocol::CallBody& aBody)
{
  if (const auto* submit = std::get_if<protocol::SubmitCall>(&aBody)) {
    return submit->mSpec.mId;
  }
  if (const auto* ask = std::get_if<protocol::StatusCall>(&aBody)) {
    return ask->mId;
  }
  return std::get<protocol::CancelCall>(aBody).mId;
}

} // namespace

Runtime::Runtime(const settings::NodeSettings& aSettings,
                 platform::HttpPlatform aPlatform)
  : mSettings(aSettings)
  , mIncarnation(FreshIncarnation())
  , mPlatform(std::move(aPlatform))
  , mConfigurationStore(mPlatform.mTable)
  , mCalls(mIncarnation)
  , mCore(CoreOptions(),
          { .mRingCapacity = aSettings.mLimits.mRingCapacity },
          [this](NodeAction& aAction) { Perform(aAction); })
{
}

Runtime::~Runtime()
{
  mGateway.reset();
  mHostDuty.reset();
  mConfigurationDuty.reset();
  mMembership.reset();
  mRecovery.reset();
  if (mJournal != nullptr) {
    mJournal->Stop();
  }
  mCore.Stop();
  mReports.reset();
  mWorkers.reset();
  mPeers.reset();
  mJournal.reset();
}

NodeCoreOptions
Runtime::CoreOptions() const
{
  return { .mNode = mSettings.mNode,
           .mIncarnation = mIncarnation,
           .mZone = mSettings.mZone,
           .mPartitionCount = mSettings.mCell.mRequestPartitions,
           .mShardCount = mSettings.mCell.mWorkerShards,
           .mSeed = mIncarnation.mValue,
           .mNodeLease = mSettings.mLeases.mNodeLease,
           .mTaskLease = mSettings.mLeases.mTaskLease,
           .mWorkerHeartbeatEvery = mSettings.mLeases.mWorkerHeartbeatEvery };
}

absl::Status
Runtime::Start()
{
  mConfigurationView.AddListener(
    [this](const auto& aPolicy) { OnPolicy(aPolicy); });
  mSync = std::make_unique<ConfigurationSync>(
    mConfigurationStore,
    mConfigurationView,
    ConfigurationSyncHooks{
      .mSendPull =
        [this](const NodeId& aTo, const codec::ConfigurationPull& aPull) {
          mPeers->Send(aTo, aPull);
        },
      .mSendBody =
        [this](const NodeId& aTo, const codec::ConfigurationBody& aBody) {
          mPeers->Send(aTo, aBody);
        } });
  absl::Status started = StartPeers();
  started.Update(started.ok() ? StartWorkers() : started);
  if (!started.ok()) {
    return started;
  }
  StartJournal();
  mCore.Start();
  StartMembership();
  mConfigurationDuty = std::make_unique<PeriodicDuty>(
    kConfigurationPollEvery, [this] { mSync->Poll(); });
  mConfigurationDuty->Start();
  mHostDuty = std::make_unique<PeriodicDuty>(mSettings.mPlatform.mHostListEvery,
                                             [this] { ListHosts(); });
  mHostDuty->Start();
  return StartGateway();
}

absl::Status
Runtime::StartPeers()
{
  absl::StatusOr<std::unique_ptr<peers::PeerMesh>> mesh =
    peers::PeerMesh::Start(
      { .mNode = mSettings.mNode,
        .mIncarnation = mIncarnation,
        .mListen = mSettings.mListen.mPeers,
        .mSeed = mIncarnation.mValue },
      { .mOnMessage =
          [this](const codec::Envelope& aFrom, codec::PeerMessage aMessage) {
            OnPeerMessage(aFrom, std::move(aMessage));
          },
        .mOnPeerState =
          [](const NodeId& aPeer, Incarnation, peers::PeerState aState) {
            LogInfo("peer_state")
              .With("peer", aPeer)
              .With("state", aState == peers::PeerState::Up ? "up" : "down");
          } });
  if (!mesh.ok()) {
    return mesh.status();
  }
  mPeers = *std::move(mesh);
  return absl::OkStatus();
}

absl::Status
Runtime::StartWorkers()
{
  absl::StatusOr<std::unique_ptr<WorkerReportServer>> reports =
    WorkerReportServer::Start(mSettings.mListen.mWorkers,
                              [this](protocol::WorkerReport aReport) {
                                return mCore.TryPost(std::move(aReport));
                              });
  if (!reports.ok()) {
    return reports.status();
  }
  mReports = *std::move(reports);
  mWorkers = std::make_unique<workers::WorkerLink>(
    workers::WorkerLinkOptions{ .mThreads = kWorkerThreads,
                                .mReportTo = "http://" + mReports->Address() +
                                             "/v1/worker-reports" },
    workers::WorkerLinkHooks{
      .mOnReport =
        [this](protocol::WorkerReport aReport) {
          mCore.TryPost(std::move(aReport));
        },
      .mOnUnreachable =
        [this](const WorkerId& aWorker, const absl::Status& aStatus) {
          LogDebug("worker_unreachable")
            .With("worker", aWorker)
            .With("error", aStatus.ToString());
          mCore.TryPost(placement::WorkerUnreachable{ aWorker });
        } });
  return absl::OkStatus();
}

void
Runtime::StartJournal()
{
  mJournal = std::make_unique<journal::Journal>(
    journal::JournalOptions{
      .mPace = { .mMinInterval = mSettings.mJournal.mLeastInterval,
                 .mWriteBudget = mSettings.mJournal.mWriteBudgetPerSecond,
                 .mPartitions = mSettings.mCell.mRequestPartitions } },
    mPlatform.mTable,
    mPlatform.mObjects,
    journal::JournalHooks{ .mOnOutcome =
                             [this](const journal::AppendOutcome& aOutcome) {
                               OnAppendOutcome(aOutcome);
                             },
                           .mOnSnapshot =
                             [](const journal::SnapshotOutcome& aOutcome) {
                               LogDebug("snapshot_saved")
                                 .With("partition", aOutcome.mId.mPartition)
                                 .With("status", aOutcome.mStatus.ToString());
                             },
                           .mOnStoreHealth =
                             [this](journal::StoreHealth aHealth) {
                               const bool up =
                                 aHealth == journal::StoreHealth::Up;
                               LogWarning("store_health").With("up", up);
                               mStoreUp.store(up);
                               mCore.Post(coordination::StoreHealth{ up });
                             } });
  mRecovery = std::make_unique<PartitionRecovery>(
    *mJournal,
    [this](PartitionGained aGained) { mCore.Post(std::move(aGained)); });
  mJournal->Start();
  mRecovery->Start();
}

void
Runtime::StartMembership()
{
  mMembership = std::make_unique<membership::Membership>(
    membership::MembershipOptions{
      .mPlanner = { .mNode = mSettings.mNode,
                    .mIncarnation = mIncarnation,
                    .mPartitions = mSettings.mCell.mRequestPartitions,
                    .mShards = mSettings.mCell.mWorkerShards,
                    .mLeases = { .mLeaseTtl = mSettings.mLeases.mNodeLease } },
      .mAddress = mPeers->Address(),
      .mZone = mSettings.mZone,
      .mRenewInterval = mSettings.mLeases.mNodeRenewEvery,
      .mReadInterval = mSettings.mLeases.mNodeRenewEvery },
    mPlatform.mTable,
    membership::MembershipHooks{
      .mOnAcquired =
        [this](const membership::AcquiredRow& aRow) { OnAcquired(aRow); },
      .mOnDeposed =
        [this](const membership::DeposedRow& aRow) { OnDeposed(aRow); },
      .mOnHandOver =
        [this](const membership::RowRef& aRow) { OnHandOver(aRow); },
      .mOnMembers =
        [this](const std::vector<membership::Member>& aMembers) {
          OnMembers(aMembers);
        },
      .mOnConfirmed = [this] { mCore.Post(OwnershipRead{}); },
      .mOnLeft = [this] { mLeft.store(true); },
      .mOnSuperseded = [this] { mSuperseded.store(true); } });
  mMembership->Start();
}

absl::Status
Runtime::StartGateway()
{
  absl::StatusOr<std::unique_ptr<gateway::GatewayServer>> server =
    gateway::GatewayServer::Start(
      { .mAddress = mSettings.mListen.mCallers,
        .mMaxBodyBytes = mSettings.mLimits.mMaxBodyBytes,
        .mThreads = mSettings.mLimits.mHttpThreads,
        .mQueuedConnections = mSettings.mLimits.mMaxConnections -
                              mSettings.mLimits.mHttpThreads + 1,
        .mCallerTimeout = mSettings.mLimits.mCallerTimeout },
      GatewayHooks());
  if (!server.ok()) {
    return server.status();
  }
  mGateway = *std::move(server);
  return absl::OkStatus();
}

gateway::GatewayHooks
Runtime::GatewayHooks()
{
  return { .mCall =
             [this](const protocol::CallBody& aBody, milliseconds aTimeout) {
               return Call(aBody, aTimeout);
             },
           .mReadiness = [this] { return Readiness(); },
           .mNodes = [this] { return Nodes(); },
           .mShards = [this] { return mCore.Summary().mDigests; },
           .mWorkers =
             [this] {
               const std::lock_guard lock(mHostsMutex);
               return mHosts;
             },
           .mConfiguration = [this] { return mConfigurationView.Current(); },
           .mApplyPatch =
             [this](const configuration::PatchRequest& aRequest) {
               configuration::PatchOutcome outcome =
                 mConfigurationStore.ApplyPatch(aRequest);
               mConfigurationDuty->RunSoon();
               return outcome;
             },
           .mFindPatch =
             [this](const std::string& aPatchId) {
               return mConfigurationStore.FindPatch(aPatchId);
             },
           .mHistory =
             [this](ConfigurationVersion aAfter, std::size_t aMost) {
               return mConfigurationStore.History(aAfter, aMost);
             },
           .mReport =
             [this] {
               return report::ReportJson(
                 mBurn.Report(std::chrono::steady_clock::now()));
             },
           .mMetrics = [this] { return MetricsText(); } };
}

NodeAddresses
Runtime::Addresses() const
{
  return { mGateway->Address(), mPeers->Address(), mReports->Address() };
}

// From the core.

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

// From the other duties.

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
  absl::StatusOr<std::vector<platform::HostEntry>> hosts =
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

// From the gateway.

PartitionId
Runtime::PartitionOf(const RequestId& aRequest) const
{
  return PartitionId(static_cast<std::uint32_t>(
    StableHash(aRequest.mValue) % mSettings.mCell.mRequestPartitions));
}

protocol::RequestStatus
Runtime::Call(const protocol::CallBody& aBody, milliseconds aTimeout)
{
  const RequestId id = IdOf(aBody);
  protocol::RequestStatus undecided{ .mId = id,
                                     .mOutcome = protocol::Outcome::NotKnownYet,
                                     .mRetryAfter = kAskAgainAfter };
  const std::uint64_t call = mCalls.Open();
  if (!mCore.TryPost(GatewayCall{
        { .mCall = call, .mPartition = PartitionOf(id), .mBody = aBody } })) {
    mCalls.Wait(call, milliseconds(0));
    undecided.mReason = protocol::RefusalReason::Recovering;
    undecided.mDetail = "this node has too much to do";
    return undecided;
  }
  std::optional<protocol::RequestStatus> reply = mCalls.Wait(call, aTimeout);
  if (!reply.has_value()) {
    mCore.TryPost(GatewayCallAbandoned{ call });
  }
  protocol::RequestStatus status = std::move(reply).value_or(undecided);
  mMetrics.CountReply(status.mOutcome, status.mReason);
  return status;
}

gateway::Readiness
Runtime::Readiness() const
{
  if (mLeaving.load()) {
    return { false, "this node is stopping" };
  }
  if (!mConfigurationView.HasVersion()) {
    return { false, "no configuration version yet" };
  }
  if (!mNodes.IsMember(mSettings.mNode)) {
    return { false, "not yet a member" };
  }
  return { true, "" };
}

std::vector<gateway::NodeInfo>
Runtime::Nodes() const
{
  return mNodes.Nodes(mSettings.mNode,
                      mConfigurationView.Current().mVersion,
                      mPeers->Connected());
}

std::string
Runtime::MetricsText()
{
  mMetrics.SetStoreUp(mStoreUp.load());
  mMetrics.SetConfiguration(mConfigurationView.Current().mVersion);
  mMetrics.SetSummary(mCore.Summary());
  mMetrics.SetTraffic(mPeers->Counters());
  mMetrics.SetBurn(mBurn.Report(std::chrono::steady_clock::now()));
  return mMetrics.Text();
}

bool
Runtime::Stop(milliseconds aGrace)
{
  const TimePoint end = std::chrono::steady_clock::now() + aGrace;
  const auto remaining = [end] {
    return std::max(milliseconds(0),
                    std::chrono::duration_cast<milliseconds>(
                      end - std::chrono::steady_clock::now()));
  };
  LogInfo("stopping").With("calls", mCalls.OpenCalls());
  mLeaving.store(true);
  mCore.Post(DrainBegan{});
  mMembership->Leave();
  bool nothingCut = mGateway->Stop(remaining());
  while (!mLeft.load() && remaining().count() > 0) {
    std::this_thread::sleep_for(kStopPoll);
  }
  nothingCut = nothingCut && mLeft.load();
  LogInfo("stopped").With("clean", nothingCut);
  return nothingCut;
}

} // namespace oriolevane::node
