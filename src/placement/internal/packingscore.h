// Scores how well a task packs onto a worker.
#pragma once

#include "framework/types/resources.h"

namespace oriolevane::placement {

// Returns a score from 0 to 1; higher is better. It favours a worker that the
// task leaves nearly full and one whose remaining resources are in similar
// proportions, because the rest of one resource is stranded when another
// resource is used up. aNeed must fit in aFree; a resource of which the worker
// has none is ignored.
double
PackingScore(const Resources& aCapacity,
             const Resources& aFree,
             const Resources& aNeed);

} // namespace oriolevane::placement
