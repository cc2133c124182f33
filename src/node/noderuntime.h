// A whole node: the duties of one process, wired together.
#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "settings/types/nodesettings.h"

namespace oriolevane::node {

// Addresses listened on, with the ports that were chosen.
struct NodeAddresses
{
  std::string mCallers;
  std::string mPeers;
  std::string mWorkers;
};

// Serves from Start to Stop. Threads by duty: core, journal, snapshots,
// membership, partition recovery, configuration, host list, peers, worker
// exchanges, worker reports, callers.
class NodeRuntime
{
public:
  // Unavailable when an address cannot be listened on. The platform may be
  // away: the node serves once it answers.
  static absl::StatusOr<std::unique_ptr<NodeRuntime>> Start(
    const settings::NodeSettings& aSettings);
  ~NodeRuntime();

  NodeAddresses Addresses() const;
  // Another process runs under this node's name; this one must end.
  bool IsSuperseded() const;
  // Graceful: no new connections, hand everything over, finish the requests in
  // flight, at most for aGrace. True when nothing was cut off.
  bool Stop(std::chrono::milliseconds aGrace);

private:
  class Impl;
  explicit NodeRuntime(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace oriolevane::node
