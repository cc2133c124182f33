// What each node tells the others about itself, over and over.
#pragma once

#include <cstdint>
#include <vector>

#include "framework/types/ids.h"
#include "protocol/types/sharddigest.h"

namespace oriolevane::codec {

// A request partition that the sender serves.
struct OwnedPartition
{
  PartitionId mPartition;
  Epoch mEpoch;

  bool operator==(const OwnedPartition&) const = default;
};

struct Heartbeat
{
  NodeId mNode;
  Incarnation mIncarnation;
  ZoneId mZone;
  // The highest configuration version that the sender holds.
  ConfigurationVersion mConfiguration;
  bool mLeaving = false;
  // Rises with each heartbeat of one incarnation.
  std::uint64_t mCounter = 0;
  // Of the shards that the sender owns.
  std::vector<protocol::ShardDigest> mDigests;
  std::vector<OwnedPartition> mPartitions;

  bool operator==(const Heartbeat&) const = default;
};

} // namespace oriolevane::codec
