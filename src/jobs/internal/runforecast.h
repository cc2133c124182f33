// Predicts when runs end.
#pragma once

#include "jobs/internal/job.h"

namespace oriolevane::jobs {

// The expected end of a run, by its progress or, until that is known, by the
// estimate of its step.
TimePoint
ExpectedEndOf(const Run& aRun, Duration aEstimate);

} // namespace oriolevane::jobs
