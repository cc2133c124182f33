#include "node/internal/runtime.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "framework/log.h"

namespace oriolevane::node {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kConfigurationPollEvery{ 1'000 };
constexpr milliseconds kStopPoll{ 20 };
constexpr std::size_t kWorkerThreads = 8;

// Differs between starts on any host; nothing has to agree on it.
Incarnation
FreshIncarnation()
{
  std::random_device device;
  return Incarnation((static_cast<std::uint64_t>(device()) << 32U) | device());
}

} // namespace

Runtime::Runtime(const settings::NodeSettings& aSettings,
                 store::HttpPlatform aPlatform)
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

NodeAddresses
Runtime::Addresses() const
{
  return { mGateway->Address(), mPeers->Address(), mReports->Address() };
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
