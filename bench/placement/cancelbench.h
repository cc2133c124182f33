// Benchmark of placement latency during mass cancellation.
#pragma once

#include "benchresults.h"

namespace oriolevane::bench {

// Cancels 50,000 waiting tasks in messages of 500 and places another task after
// each message. Measures the duration of both calls.
void
RunCancelBench(BenchResults& aResults);

} // namespace oriolevane::bench
