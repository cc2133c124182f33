#include "jobs/internal/runforecast.h"

namespace oriolevane::jobs {

TimePoint
ExpectedEndOf(const Run& aRun, Duration aEstimate)
{
  return aRun.mProgress.ExpectedEnd().value_or(aRun.mOrderedAt + aEstimate);
}

} // namespace oriolevane::jobs
