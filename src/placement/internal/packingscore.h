// How well a task fills a worker.
#pragma once

#include "framework/types/resources.h"

namespace oriolevane::placement {

// Between 0 and 1, higher is better. It rewards a worker that is left full and
// one whose resources are left in like proportions: what is left of one
// resource when another is used up is stranded.
double
PackingScore(const Resources& aCapacity,
             const Resources& aFree,
             const Resources& aNeed);

} // namespace oriolevane::placement
