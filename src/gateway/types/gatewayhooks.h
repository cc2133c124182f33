// What the gateway asks of the node behind it.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "configuration/types/historyentry.h"
#include "configuration/types/patchrequest.h"
#include "configuration/types/versionedbody.h"
#include "policy/types/cellpolicy.h"
#include "protocol/types/callermessages.h"
#include "protocol/types/requeststatus.h"
#include "protocol/types/sharddigest.h"
#include "protocol/types/workermessages.h"

namespace oriolevane::gateway {

// A node as the others know it.
struct NodeInfo
{
  NodeId mNode;
  Incarnation mIncarnation;
  ZoneId mZone;
  // The configuration version in force there, as it last said.
  ConfigurationVersion mVersion;
  bool mLeaving = false;
  // Whether its connection to this node is up; true for this node.
  bool mConnected = false;
};

struct Readiness
{
  bool mReady = false;
  // Why not, e.g. "no configuration version yet".
  std::string mReason;
};

// All hooks may be called from any number of threads at once.
struct GatewayHooks
{
  // Blocks until the reply, at most for the time given; then the call is
  // abandoned and the outcome is not known yet.
  std::function<protocol::RequestStatus(const protocol::CallBody&,
                                        std::chrono::milliseconds)>
    mCall;
  std::function<Readiness()> mReadiness;
  std::function<std::vector<NodeInfo>()> mNodes;
  std::function<std::vector<protocol::ShardDigest>()> mShards;
  std::function<std::vector<protocol::WorkerInfo>()> mWorkers;
  std::function<configuration::VersionedBody()> mConfiguration;
  std::function<configuration::PatchOutcome(const configuration::PatchRequest&)>
    mApplyPatch;
  std::function<absl::StatusOr<configuration::PatchOutcome>(const std::string&)>
    mFindPatch;
  std::function<absl::StatusOr<std::vector<configuration::HistoryEntry>>(
    ConfigurationVersion,
    std::size_t)>
    mHistory;
  // The report on service-level burn, as JSON.
  std::function<std::string()> mReport;
  // Prometheus text.
  std::function<std::string()> mMetrics;
};

} // namespace oriolevane::gateway
