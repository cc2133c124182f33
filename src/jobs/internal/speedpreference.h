// Decides which tasks go to the workers on which they take the least time.
//
// It answers loads of short and of long jobs on workers of unequal speed: a
// short job whose task fails, or waits during a takeover, can still end in time
// on a fast worker, while a long one has slack enough on a slow one.
#pragma once

#include "jobs/internal/job.h"

namespace oriolevane::jobs {

// True while gangs need little of the cell. Where they need more, short jobs
// are packed on few workers instead, as spreading them would leave no empty
// ones. Both amounts are in thousandths of a core.
bool
MaySpreadShortJobs(std::int64_t aGangDemand, std::int64_t aCapacity);

// True for the tasks of a step of a short job.
bool
PrefersFastWorkers(const Job& aJob, int aStep);

} // namespace oriolevane::jobs
