// Predicts when runs and steps end.
#pragma once

#include <optional>

#include "jobs/internal/job.h"

namespace oriolevane::jobs {

// The expected end of a run, by its progress or, until that is known, by the
// estimate of its step.
TimePoint
ExpectedEndOf(const Run& aRun, Duration aEstimate);

// The end of a step's last run by the estimate alone; nothing when a task still
// waits to start.
std::optional<TimePoint>
EstimatedEndOf(const Step& aStep, const StepSpec& aSpec);

} // namespace oriolevane::jobs
