// Benchmark of single placement decisions on cells of three sizes.
#pragma once

#include "benchresults.h"

namespace oriolevane::bench {

// Fills the cell to most of its capacity. Then repeatedly ends one task,
// submits another and measures the duration of the call that accepts and places
// it.
void
RunDecisionBench(BenchResults& aResults);

} // namespace oriolevane::bench
