// A node of a cell. All nodes are alike: each takes requests of callers, and
// one of them at a time owns the shard and schedules its jobs.
#pragma once

#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "cellnode/nodemetrics.h"
#include "cellnode/types/caller.h"
#include "cellnode/types/nodehooks.h"
#include "eventloop/eventloop.h"
#include "jobs/cellscheduler.h"

namespace oriolevane::cellnode {

struct NodeStatus
{
  bool mOwnsShard = false;
  Epoch mEpoch;
  ConfigurationVersion mVersion;
  std::size_t mLinks = 0;
  jobs::SchedulerCounts mCounts;
  std::chrono::milliseconds mStoreAge{ 0 };
};

class CellNode
{
public:
  CellNode(eventloop::EventLoop& aLoop,
           NodeOptions aOptions,
           RowStoreHooks aStore,
           UpstreamHooks aUpstreams,
           OutsideFormats aFormats);
  ~CellNode();

  // Unavailable when the address for other nodes cannot be bound.
  absl::Status Start();
  // Replies once, at once or later.
  void Handle(CallerRequest aRequest, CallerReply aReply);
  // True when requests can be seen through.
  bool IsReady() const;
  // Gives up the shard if this node owns it, and answers what is open. aDone is
  // called when the process can end.
  void Stop(std::function<void()> aDone);
  NodeStatus Status() const;
  const NodeMetrics& Metrics() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace oriolevane::cellnode
