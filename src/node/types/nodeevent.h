// All that can happen to the core of a node.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "codec/types/peermessage.h"
#include "coordination/types/policychanged.h"
#include "coordination/types/storehealth.h"
#include "node/types/ownership.h"
#include "placement/types/workerunreachable.h"
#include "protocol/types/callermessages.h"
#include "protocol/types/workermessages.h"

namespace oriolevane::node {

// A call from this node's own gateway.
struct GatewayCall
{
  protocol::CallerCall mCall;
};

// The caller of a gateway call no longer waits.
struct GatewayCallAbandoned
{
  std::uint64_t mCall = 0;
};

struct PeerMessageArrived
{
  NodeId mFrom;
  Incarnation mFromIncarnation;
  codec::PeerMessage mMessage;
};

// The live nodes, this one included.
struct MembersListed
{
  std::vector<NodeId> mMembers;
};

// The platform's whole list of workers.
struct HostsListed
{
  std::vector<protocol::WorkerInfo> mWorkers;
};

// What the journal says of records of one partition.
struct RecordsCommitted
{
  PartitionId mPartition;
  Epoch mEpoch;
  std::vector<std::uint64_t> mSequences;
};

struct RecordsFailed
{
  PartitionId mPartition;
  Epoch mEpoch;
  std::vector<std::uint64_t> mSequences;
  bool mSurelyNotWritten = false;
};

// What this node was not deposed of is surely still its own.
struct OwnershipRead
{};

// The planned stop began: refuse new requests, finish those in flight.
struct DrainBegan
{};

// Stop serving the partition or shard, as it goes to another node.
struct HandOverPartition
{
  PartitionId mPartition;
};

struct HandOverShard
{
  ShardId mShard;
};

// Time passed; expected every 50 ms or so.
struct Tick
{};

using NodeEvent = std::variant<GatewayCall,
                               GatewayCallAbandoned,
                               PeerMessageArrived,
                               MembersListed,
                               HostsListed,
                               RecordsCommitted,
                               RecordsFailed,
                               PartitionGained,
                               PartitionLost,
                               ShardGained,
                               ShardLost,
                               protocol::WorkerReport,
                               placement::WorkerUnreachable,
                               coordination::PolicyChanged,
                               coordination::StoreHealth,
                               HandOverPartition,
                               HandOverShard,
                               OwnershipRead,
                               DrainBegan,
                               Tick>;

} // namespace oriolevane::node
