// News of a shard's capacity.
#pragma once

#include "protocol/types/sharddigest.h"

namespace oriolevane::coordination {

// A digest as its placer sent it; a digest older than one seen is ignored.
struct DigestReceived
{
  protocol::ShardDigest mDigest;
};

} // namespace oriolevane::coordination
