// The duties of a node and what passes between them.
#pragma once

#include <atomic>
#include <memory>

#include "absl/status/status.h"
#include "configuration/configurationstore.h"
#include "configuration/configurationview.h"
#include "gateway/gatewayserver.h"
#include "journal/journal.h"
#include "membership/membership.h"
#include "node/internal/callboard.h"
#include "node/internal/configurationsync.h"
#include "node/internal/coreloop.h"
#include "node/internal/nodeboard.h"
#include "node/internal/nodemetrics.h"
#include "node/internal/partitionrecovery.h"
#include "node/internal/periodicduty.h"
#include "node/internal/workerreportserver.h"
#include "node/noderuntime.h"
#include "peers/peermesh.h"
#include "report/burntracker.h"
#include "settings/types/nodesettings.h"
#include "store/httpplatform.h"
#include "workers/workerlink.h"

namespace oriolevane::node {

class Runtime
{
public:
  Runtime(const settings::NodeSettings& aSettings,
          store::HttpPlatform aPlatform);
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;
  ~Runtime();

  absl::Status Start();
  NodeAddresses Addresses() const;
  bool IsSuperseded() const { return mSuperseded.load(); }
  bool Stop(std::chrono::milliseconds aGrace);

private:
  // Making of the duties.
  absl::Status StartPeers();
  absl::Status StartWorkers();
  absl::Status StartGateway();
  void StartJournal();
  void StartMembership();
  NodeCoreOptions CoreOptions() const;
  gateway::GatewayHooks GatewayHooks();

  // What the core asks for; on the core's thread.
  void Perform(NodeAction& aAction);
  void Append(AppendToJournal& aAppend);
  void Release(const membership::RowRef& aRow);

  // What the other duties report.
  void OnPeerMessage(const codec::Envelope& aFrom, codec::PeerMessage aMessage);
  void OnAppendOutcome(const journal::AppendOutcome& aOutcome);
  void OnAcquired(const membership::AcquiredRow& aRow);
  void OnDeposed(const membership::DeposedRow& aRow);
  void OnHandOver(const membership::RowRef& aRow);
  void OnMembers(const std::vector<membership::Member>& aMembers);
  void OnPolicy(const std::shared_ptr<const policy::CellPolicy>& aPolicy);
  void ListHosts();

  // What the gateway asks for; on its threads.
  protocol::RequestStatus Call(const protocol::CallBody& aBody,
                               std::chrono::milliseconds aTimeout);
  gateway::Readiness Readiness() const;
  std::string MetricsText();
  std::vector<gateway::NodeInfo> Nodes() const;
  PartitionId PartitionOf(const RequestId& aRequest) const;

  settings::NodeSettings mSettings;
  Incarnation mIncarnation;
  store::HttpPlatform mPlatform;
  configuration::ConfigurationStore mConfigurationStore;
  configuration::ConfigurationView mConfigurationView;
  CallBoard mCalls;
  NodeBoard mNodes;
  NodeMetrics mMetrics;
  report::BurnTracker mBurn;
  std::mutex mHostsMutex;
  std::vector<protocol::WorkerInfo> mHosts;
  std::atomic<bool> mStoreUp{ true };
  std::atomic<bool> mLeaving{ false };
  std::atomic<bool> mLeft{ false };
  std::atomic<bool> mSuperseded{ false };

  // In order of dependence; ended in reverse.
  CoreLoop mCore;
  std::unique_ptr<peers::PeerMesh> mPeers;
  std::unique_ptr<workers::WorkerLink> mWorkers;
  std::unique_ptr<WorkerReportServer> mReports;
  std::unique_ptr<journal::Journal> mJournal;
  std::unique_ptr<PartitionRecovery> mRecovery;
  std::unique_ptr<membership::Membership> mMembership;
  std::unique_ptr<ConfigurationSync> mSync;
  std::unique_ptr<PeriodicDuty> mConfigurationDuty;
  std::unique_ptr<PeriodicDuty> mHostDuty;
  std::unique_ptr<gateway::GatewayServer> mGateway;
};

} // namespace oriolevane::node
