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

using NodeAction = std::variant<SendToPeer,
                                SendCommand,
                                AppendToJournal,
                                ReplyToGateway,
                                coordination::ObjectiveSample>;

} // namespace oriolevane::node
