// Pause of placement during a wave of cancellations.
#pragma once

#include "figures.h"

namespace oriolevane::bench {

// Cancels 50,000 waiting tasks in messages of 500 while other tasks come and
// are placed.
void
RunCancelBench(Figures& aFigures);

} // namespace oriolevane::bench
