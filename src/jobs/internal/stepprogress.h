// Converts the progress of a step between its state in memory and its record.
#pragma once

#include "jobs/internal/job.h"

namespace oriolevane::jobs {

// Returns the progress of the tasks of a step from aFirst to before aEnd,
// without those that have made none. The failures of a gang as a whole go with
// its first task.
StepProgress
ProgressOf(const Step& aStep, int aNumber, int aFirst, int aEnd);
// Restores the progress of some tasks of a step.
void
ApplyProgress(Step& aStep, const StepProgress& aProgress);

} // namespace oriolevane::jobs
