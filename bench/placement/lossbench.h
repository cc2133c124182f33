// Benchmark of the attempts lost to one worker that fails all tasks.
#pragma once

#include "benchresults.h"

namespace oriolevane::bench {

// The bad worker fails each task after 50 ms, so it appears to have free
// capacity most of the time. Failed tasks are retried on other workers.
// Measures the share of attempts that failed on the bad worker, with and
// without quarantine.
void
RunLossBench(BenchResults& aResults);

} // namespace oriolevane::bench
