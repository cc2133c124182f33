// Benchmark of waiting times and packing on 48 workers with the workload mixes
// of the two firms, Hreinsun and Lutheria.
#pragma once

#include "benchresults.h"

namespace oriolevane::bench {

// Runs each mix with the placer (results named core), with first-in-first-out
// queueing and first fit (fifo), and with first fit over the whole queue in
// order of arrival (first_fit).
void
RunMixBench(BenchResults& aResults);

} // namespace oriolevane::bench
