// What a node can own: request partitions and worker shards.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "framework/types/ids.h"

namespace oriolevane::node {

// What a new owner of a partition has read back from the journal.
struct RecoveredPartition
{
  // Empty when there is none yet.
  std::string mSnapshot;
  // In the order in which they were committed after the snapshot.
  std::vector<std::string> mRecords;
};

struct PartitionGained
{
  PartitionId mPartition;
  Epoch mEpoch;
  RecoveredPartition mRecovered;
};

struct PartitionLost
{
  PartitionId mPartition;
  Epoch mEpoch;
};

struct ShardGained
{
  ShardId mShard;
  Epoch mEpoch;
};

struct ShardLost
{
  ShardId mShard;
  Epoch mEpoch;
};

} // namespace oriolevane::node
