// The row that says which node owns a shard. Every write of the owner is
// conditional on it, and renews it.
#pragma once

#include <cstdint>
#include <string>

#include "framework/types/ids.h"

namespace oriolevane::cellnode {

struct OwnerRow
{
  Epoch mEpoch;
  NodeId mNode;
  // Of the owner's process, so that a restart is seen.
  Incarnation mIncarnation;
  // "IP:PORT" for links of other nodes.
  std::string mAddress;
  // Counts the owner's transactions.
  std::uint64_t mSequence = 0;
  // The owner has stopped and waits for a successor.
  bool mReleased = false;

  bool operator==(const OwnerRow&) const = default;
};

} // namespace oriolevane::cellnode
