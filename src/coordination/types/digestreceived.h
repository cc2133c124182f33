// Event: a placer reported the capacity of its shard.
#pragma once

#include "protocol/types/sharddigest.h"

namespace oriolevane::coordination {

// The digest as the placer sent it. The coordinator ignores a digest that is
// older than one it has already handled.
struct DigestReceived
{
  protocol::ShardDigest mDigest;
};

} // namespace oriolevane::coordination
