// Waiting and packing of the two firms' mixes on 48 workers.
#pragma once

#include "figures.h"

namespace oriolevane::bench {

// Runs each mix through the core, through first-in-first-out with first fit,
// and through first fit over the queue in order of arrival.
void
RunMixBench(Figures& aFigures);

} // namespace oriolevane::bench
