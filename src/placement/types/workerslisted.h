// Event: the platform's current list of this shard's workers.
#pragma once

#include <vector>

#include "protocol/types/workermessages.h"

namespace oriolevane::placement {

// The whole list. A worker that it no longer names gets no new work; its tasks
// stay counted until their end is sure.
struct WorkersListed
{
  std::vector<protocol::WorkerInfo> mWorkers;
};

} // namespace oriolevane::placement
