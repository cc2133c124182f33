// Converts the progress of a step between its state in memory and its record.
#pragma once

#include "jobs/internal/job.h"

namespace oriolevane::jobs {

// Returns the progress of a step, without the tasks that have made none.
StepProgress
ProgressOf(const Step& aStep, int aNumber);
// Restores the progress of a step that has made none since it was opened.
void
ApplyProgress(Step& aStep, const StepProgress& aProgress);

} // namespace oriolevane::jobs
