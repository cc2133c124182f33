// Action: send a message to the placer of a shard.
#pragma once

#include "framework/types/ids.h"
#include "protocol/types/placermessages.h"

namespace oriolevane::coordination {

// The message goes to the current owner of the shard. It may be lost, because
// the coordinator resends messages that are not answered.
struct SendToPlacer
{
  ShardId mShard;
  protocol::ToPlacer mMessage;
};

} // namespace oriolevane::coordination
