#include "jobs/internal/runforecast.h"

#include <algorithm>

namespace oriolevane::jobs {

TimePoint
ExpectedEndOf(const Run& aRun, Duration aEstimate)
{
  return aRun.mProgress.ExpectedEnd().value_or(aRun.mOrderedAt + aEstimate);
}

std::optional<TimePoint>
EstimatedEndOf(const Step& aStep, const StepSpec& aSpec)
{
  TimePoint end{};
  for (const Task& task : aStep.mTasks) {
    if (task.mSucceeded) {
      continue;
    }
    if (task.mRuns.empty()) {
      return std::nullopt;
    }
    end = std::max(end, task.mRuns.front()->mOrderedAt + aSpec.mEstimate);
  }
  return end;
}

} // namespace oriolevane::jobs
