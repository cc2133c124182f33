// Runs a node of a cell. Every node accepts requests of callers; one node at a
// time owns the shard and schedules its jobs.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "absl/status/status.h"
#include "cellnode/advicedispatcher.h"
#include "cellnode/nodemetrics.h"
#include "cellnode/types/caller.h"
#include "cellnode/types/nodehooks.h"
#include "eventloop/eventloop.h"
#include "jobs/cellscheduler.h"

namespace oriolevane::cellnode {

// A snapshot of a node for its metrics.
struct NodeStatus
{
  bool mOwnsShard = false;
  Epoch mEpoch;
  ConfigurationVersion mVersion;
  // The time for which the configuration has not been known to be the newest
  // one; nothing until it was read for the first time.
  std::optional<std::chrono::milliseconds> mConfigurationAge;
  // The number of links to other nodes.
  std::size_t mLinks = 0;
  // Set only while the node owns the shard, like mStoreAge.
  jobs::SchedulerCounts mCounts;
  AdviceBacklog mAdviceBacklog;
  // The time since the owner's last applied write to the store was sent.
  std::chrono::milliseconds mStoreAge{ 0 };
};

class CellNode
{
public:
  CellNode(eventloop::EventLoop& aLoop,
           NodeOptions aOptions,
           RowStoreHooks aStore,
           UpstreamHooks aUpstreams,
           ExternalFormats aFormats);
  ~CellNode();

  // Starts to listen for other nodes. Returns InvalidArgument for a malformed
  // peer address, and Unavailable when the address cannot be bound.
  absl::Status Start();
  // Calls aReply exactly once, either before it returns or later.
  void Handle(CallerRequest aRequest, AnswerCallback aReply);
  // True when the node is not stopping, has a configuration, and either serves
  // the shard or knows its owner.
  bool IsReady() const;
  // Releases the shard if this node owns it, and answers pending requests.
  // Calls aDone when the process can exit.
  void Stop(std::function<void()> aDone);
  NodeStatus Status() const;
  const NodeMetrics& Metrics() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace oriolevane::cellnode
