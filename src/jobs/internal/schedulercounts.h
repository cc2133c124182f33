// Counts jobs, runs and workers for metrics.
#pragma once

#include "jobs/cellscheduler.h"
#include "jobs/internal/cellstate.h"

namespace oriolevane::jobs {

SchedulerCounts
CountsOf(const CellState& aCell);

} // namespace oriolevane::jobs
