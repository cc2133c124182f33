// Defines the options of a node and the hooks through which it calls the
// services around it.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "cellnode/types/rows.h"
#include "jobs/types/cellconfiguration.h"
#include "jobs/types/jobspec.h"
#include "jobs/types/orders.h"
#include "jobs/types/scheduleroptions.h"

namespace oriolevane::cellnode {

struct NodeOptions
{
  NodeId mNode;
  ZoneId mZone;
  // Identifies one run of the process; it changes with each start.
  Incarnation mIncarnation;
  // The address, as "IP:PORT", at which other nodes connect to this one.
  std::string mPeerAddress;
  // How suitable this host is to own the shard, from 0 to 1. Nodes compare it
  // when they choose the next owner.
  double mFitness = 0.5;
  // The host's link is thin: the node compresses frames to nodes that accept
  // it, asks them to do the same, and compresses the records that it stores.
  bool mCompress = false;
  // Options for the shard's scheduler. The node sets the epoch when it becomes
  // the owner.
  jobs::SchedulerOptions mScheduler;
  // The time between the stop signal and the moment when the platform kills the
  // process.
  std::chrono::milliseconds mStopGrace{ 6000 };
  // The time after which an API key that was withdrawn must have no effect.
  // Without it, the age of a node's configuration does not matter.
  std::optional<std::chrono::milliseconds> mKeyWithdrawal;
};

// Calls to workers and to the policy service. A worker call without an answer
// by its timeout is completed with the result Unknown.
struct UpstreamHooks
{
  std::function<void(const jobs::StartOrder&,
                     Duration aTimeout,
                     std::function<void(const jobs::OrderAnswer&)>)>
    mStart;
  std::function<void(const jobs::StopOrder&,
                     Duration aTimeout,
                     std::function<void(const jobs::OrderAnswer&)>)>
    mStop;
  std::function<void(const jobs::PollOrder&,
                     Duration aTimeout,
                     std::function<void(const jobs::PollAnswer&)>)>
    mPoll;
  std::function<void(const jobs::AdviceQuery&,
                     std::function<void(const jobs::AdviceAnswer&)>)>
    mAdvise;
};

// Says where the configuration and the worker registry are stored, and decodes
// what other systems write there and send. The decoders return InvalidArgument
// for malformed input.
struct ExternalFormats
{
  // The row that holds the cell's configuration.
  RowKey mConfigurationRow;
  // The table of the worker registry. Each row is named by a worker id.
  std::string mWorkerTable;
  std::function<absl::StatusOr<jobs::CellConfiguration>(std::string_view)>
    mDecodeConfiguration;
  std::function<absl::StatusOr<jobs::WorkerEntry>(const WorkerId&,
                                                  std::string_view)>
    mDecodeWorker;
  std::function<absl::StatusOr<jobs::JobSpec>(std::string_view)> mDecodeJob;
};

} // namespace oriolevane::cellnode
