// Speed of single decisions at three sizes.
#pragma once

#include "figures.h"

namespace oriolevane::bench {

// Fills the cell to most of its capacity, then lets tasks come and go and
// times each call that takes in one task and places it.
void
RunDecisionBench(Figures& aFigures);

} // namespace oriolevane::bench
