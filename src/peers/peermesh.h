// The connections between the nodes: one TCP connection a pair, kept alive by
// pings and replaced when it falls silent.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "codec/types/peermessage.h"
#include "peers/types/peermember.h"
#include "peers/types/peermeshhooks.h"
#include "peers/types/peermeshoptions.h"
#include "peers/types/trafficcounters.h"

namespace oriolevane::peers {

// One thread serves all connections. Messages may be lost, as those that wait
// when a connection breaks are dropped; they are not reordered or doubled
// within one connection.
class PeerMesh
{
public:
  // Unavailable when the address can't be listened on.
  static absl::StatusOr<std::unique_ptr<PeerMesh>> Start(
    PeerMeshOptions aOptions,
    PeerMeshHooks aHooks);
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;
  // Closes all connections; the hooks are not called any more afterwards.
  ~PeerMesh();

  // IP and port it listens on.
  std::string Address() const;

  // Dials these nodes from now on, and no others; the node itself may be among
  // them. Connections with nodes that are not listed stay while they are alive,
  // as a node that joins is listed only some time after it has dialled.
  void SetMembers(std::vector<PeerMember> aMembers);

  // Queues the message and returns at once. False, and nothing kept, when no
  // connection with the node is up, when the queue is full or the message too
  // long for a frame.
  bool Send(const NodeId& aTo, const codec::PeerMessage& aMessage);

  // Nodes with a connection that is up.
  std::vector<NodeId> Connected() const;

  TrafficCounters Counters() const;

private:
  class Impl;
  explicit PeerMesh(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> mImpl;
};

} // namespace oriolevane::peers
