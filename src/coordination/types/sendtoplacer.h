// A message for a placer.
#pragma once

#include "framework/types/ids.h"
#include "protocol/types/placermessages.h"

namespace oriolevane::coordination {

// To the present owner of the shard; may be lost, as it is sent again.
struct SendToPlacer
{
  ShardId mShard;
  protocol::ToPlacer mMessage;
};

} // namespace oriolevane::coordination
