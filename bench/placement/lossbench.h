// Work lost to one worker that fails everything.
#pragma once

#include "figures.h"

namespace oriolevane::bench {

// The worker fails each task within 50 ms, and so looks free; failed tasks are
// tried again elsewhere. Measures the share of attempts that failed on it.
void
RunLossBench(Figures& aFigures);

} // namespace oriolevane::bench
