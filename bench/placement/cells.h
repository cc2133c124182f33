// Placer options and workers of the measured cells.
#pragma once

#include <cstddef>
#include <vector>

#include "placement/types/placeroptions.h"
#include "protocol/types/workermessages.h"

namespace oriolevane::bench {

// Options of the placer that owns shard 0 under epoch 1.
placement::PlacerOptions
BenchOptions(std::uint64_t aSeed);

// Returns workers with 64 cores, 256 GiB of memory and 8 slots. There are six
// workers in a rack, and the racks are distributed over four availability zones
// in turn. Each worker in a rack with an even number has aAccelerators
// accelerators.
std::vector<protocol::WorkerInfo>
MakeWorkers(std::size_t aCount, std::int64_t aAccelerators);

} // namespace oriolevane::bench
