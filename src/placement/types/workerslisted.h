// Event: the platform has listed the workers of this shard.
#pragma once

#include <vector>

#include "protocol/types/workermessages.h"

namespace oriolevane::placement {

// Contains the complete list. A worker that is no longer listed gets no new
// work, and the resources of its tasks stay granted until their end is certain.
struct WorkersListed
{
  std::vector<protocol::WorkerInfo> mWorkers;
};

} // namespace oriolevane::placement
