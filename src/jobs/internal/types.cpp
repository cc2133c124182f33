#include "jobs/types/cellconfiguration.h"
#include "jobs/types/jobspec.h"
#include "jobs/types/jobstate.h"
#include "jobs/types/teamcounts.h"

#include <algorithm>
#include <numeric>

namespace oriolevane::jobs {

std::int64_t
JobSpec::TaskCount() const
{
  return std::accumulate(mSteps.begin(),
                         mSteps.end(),
                         std::int64_t{ 0 },
                         [](std::int64_t aSum, const StepSpec& aStep) {
                           return aSum + aStep.mTaskCount;
                         });
}

void
JobSpec::RemoveRepeatedDependencies()
{
  for (StepSpec& step : mSteps) {
    std::sort(step.mAfter.begin(), step.mAfter.end());
    step.mAfter.erase(std::unique(step.mAfter.begin(), step.mAfter.end()),
                      step.mAfter.end());
  }
}

const QueuePolicy*
CellConfiguration::FindQueue(const QueueName& aName) const
{
  const auto found =
    std::find_if(mQueues.begin(), mQueues.end(), [&](const auto& aQueue) {
      return aQueue.mName == aName;
    });
  return found == mQueues.end() ? nullptr : &*found;
}

std::string_view
ToText(JobState aState)
{
  switch (aState) {
    case JobState::Queued:
      return "queued";
    case JobState::Running:
      return "running";
    case JobState::Completed:
      return "completed";
    case JobState::Failed:
      return "failed";
    case JobState::Cancelled:
      return "cancelled";
  }
  return "queued";
}

std::string_view
ToText(CloseReason aReason)
{
  switch (aReason) {
    case CloseReason::Completed:
      return "completed";
    case CloseReason::FailedRuns:
      return "failed_runs";
    case CloseReason::WorkerCrashes:
      return "worker_crashes";
    case CloseReason::Cancelled:
    case CloseReason::Count:
      break;
  }
  return "cancelled";
}

std::string_view
ToText(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::GangExceedsQuota:
      return "gang_exceeds_quota";
    case RefusalReason::GuaranteedWorkWaits:
      return "guaranteed_work_waits";
  }
  return "guaranteed_work_waits";
}

} // namespace oriolevane::jobs
