// Chooses the nodes that call workers on behalf of the owner of a shard, so
// that the owner's host does not bear all exchanges with workers.
// Deterministic.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "jobs/types/orders.h"

namespace oriolevane::cellnode {

struct RelaySelectorOptions
{
  // How suitable the owner's host is for its work, from 0 to 1. It bounds the
  // number of workers that the owner calls itself.
  double mOwnerFitness = 1.0;
  // The number of workers that an owner of fitness 1 calls itself.
  std::size_t mDirectWorkers = 200;
  // The number of workers that one relay calls.
  std::size_t mWorkersPerRelay = 60;
  // A relay that left a call without an answer is not used for this time.
  std::chrono::milliseconds mSilentRelayAvoidance{ 3000 };
};

// A node that can be used as a relay.
struct RelayNode
{
  NodeId mNode;
  ZoneId mZone;
  double mFitness = 0.0;
};

class RelaySelector
{
public:
  explicit RelaySelector(RelaySelectorOptions aOptions);

  // Adds a node or replaces what is known of it.
  void AddNode(RelayNode aNode);
  void RemoveNode(const NodeId& aNode);
  // Sets the number of workers of the shard.
  void SetWorkerCount(std::size_t aWorkers);
  // Notes that a relay left a call without an answer.
  void OnSilent(const NodeId& aNode, TimePoint aNow);
  // The relay for calls to a worker; nothing when the owner calls it itself. A
  // worker keeps its relay as long as the nodes stay the same.
  std::optional<NodeId> RelayFor(const jobs::WorkerTarget& aWorker,
                                 TimePoint aNow);

private:
  struct Node
  {
    RelayNode mRelay;
    TimePoint mAvoidUntil;
  };

  bool OwnerCallsAll() const;
  // The relays of a zone, the fittest of its nodes.
  const std::vector<NodeId>& RelaysOf(const ZoneId& aZone, TimePoint aNow);
  void SelectRelays(TimePoint aNow);

  RelaySelectorOptions mOptions;
  std::map<NodeId, Node> mNodes;
  std::size_t mWorkers = 0;
  // The selected relays, by zone. They are selected again after a change, and
  // when the avoidance of a relay ends.
  std::map<ZoneId, std::vector<NodeId>> mRelays;
  std::vector<NodeId> mAllRelays;
  bool mChanged = true;
  TimePoint mSelectAgainAt;
};

} // namespace oriolevane::cellnode
