// The row of a partition or shard: who owns it, in which epoch, and for a
// partition where its durable state starts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "framework/types/ids.h"

namespace oriolevane::membership {

// A snapshot that holds everything up to and with a sequence number.
struct SnapshotReference
{
  std::string mObject;
  std::uint64_t mSequence = 0;

  bool operator==(const SnapshotReference&) const = default;
};

struct OwnershipRow
{
  // Rises by one with each acquisition, never otherwise.
  Epoch mEpoch;
  // Empty when the row was released.
  NodeId mOwner;
  Incarnation mOwnerIncarnation;
  // The first epoch whose log may hold records after the snapshot. The log of
  // the row is the chain of epochs from this one to mEpoch.
  Epoch mLogFromEpoch;
  std::optional<SnapshotReference> mSnapshot;

  bool IsOwnedBy(const NodeId& aNode, Incarnation aIncarnation) const
  {
    return mOwner == aNode && mOwnerIncarnation == aIncarnation;
  }
  bool operator==(const OwnershipRow&) const = default;
};

} // namespace oriolevane::membership
