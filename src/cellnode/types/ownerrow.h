// Defines the store row that names the owner of a shard. Every write of the
// owner is conditional on this row's version and also updates the row, so that
// a node whose ownership has ended can no longer write.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "framework/types/ids.h"

namespace oriolevane::cellnode {

struct OwnerRow
{
  Epoch mEpoch;
  NodeId mNode;
  // Identifies the owner's process, so that a restart of the node can be
  // detected.
  Incarnation mIncarnation;
  // The address, as "IP:PORT", at which other nodes connect to the owner.
  std::string mAddress;
  // The number of transactions that the owner has built in this epoch.
  std::uint64_t mSequence = 0;
  // True when the owner has written everything and given up the shard.
  bool mReleased = false;
  // The highest fitness of the nodes that the owner was linked to. It tells
  // nodes that restart together how fit they are in comparison.
  double mBestFitness = 1.0;
  // True when the owner knows all runs that earlier owners started. Otherwise
  // these may still be starting tasks when this owner has stopped.
  bool mRecovered = false;
  // True when all owners before this one are known to have stopped: they start
  // no tasks and renew no leases any more.
  bool mEarlierOwnersGone = false;
  // For some workers that do not answer, how long the runs there may go on
  // after the shard was released. Holds only when mReleased is set.
  std::map<WorkerId, std::chrono::milliseconds> mRunsEndIn;

  bool operator==(const OwnerRow&) const = default;
};

} // namespace oriolevane::cellnode
