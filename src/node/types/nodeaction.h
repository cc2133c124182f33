// All that the core of a node asks its daemon to do.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "codec/types/peermessage.h"
#include "coordination/types/objectivesample.h"
#include "framework/types/ids.h"
#include "protocol/types/callermessages.h"
#include "protocol/types/workermessages.h"

namespace oriolevane::node {

// May be lost: senders repeat until answered.
struct SendToPeer
{
  NodeId mPeer;
  codec::PeerMessage mMessage;
};

struct SendCommand
{
  // Address of the worker.
  std::string mAddress;
  protocol::WorkerCommand mCommand;
};

struct AppendToJournal
{
  PartitionId mPartition;
  Epoch mEpoch;
  std::uint64_t mSequence = 0;
  std::string mBytes;
};

// Exactly one for each gateway call that is not abandoned.
struct ReplyToGateway
{
  protocol::CallerReply mReply;
};

// The durable state of a partition, for the object store.
struct SaveSnapshot
{
  PartitionId mPartition;
  Epoch mEpoch;
  std::uint64_t mSequence = 0;
  std::string mBytes;
};

// The partition or shard is no longer served here; its row may be released.
struct PartitionHandedOver
{
  PartitionId mPartition;
};

struct ShardHandedOver
{
  ShardId mShard;
};

using NodeAction = std::variant<SendToPeer,
                                SendCommand,
                                AppendToJournal,
                                SaveSnapshot,
                                PartitionHandedOver,
                                ShardHandedOver,
                                ReplyToGateway,
                                coordination::ObjectiveSample>;

} // namespace oriolevane::node
