// The cells that are measured.
#pragma once

#include <cstddef>
#include <vector>

#include "placement/types/placeroptions.h"
#include "protocol/types/workermessages.h"

namespace oriolevane::bench {

placement::PlacerOptions
BenchOptions(std::uint64_t aSeed);

// Workers of 64 cores, 256 GB and 8 slots, six to a rack, racks dealt to four
// zones; the racks with even numbers have aAccelerators accelerators a worker.
std::vector<protocol::WorkerInfo>
MakeWorkers(std::size_t aCount, std::int64_t aAccelerators);

} // namespace oriolevane::bench
