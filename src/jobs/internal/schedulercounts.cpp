#include "jobs/internal/schedulercounts.h"

#include <algorithm>
#include <map>

namespace oriolevane::jobs {

SchedulerCounts
CountsOf(const CellState& aCell)
{
  SchedulerCounts counts;
  counts.mOpenJobs = aCell.mJobs.Jobs().size();
  counts.mFootprint = aCell.mJobs.Budget().Used();
  counts.mFootprintLimits = aCell.mJobs.Budget().Limits();
  for (const auto& [id, worker] : aCell.mFleet.Workers()) {
    counts.mRuns += worker.mRuns.size();
    counts.mUncertainRuns += std::ranges::count_if(
      worker.mRuns, [](const RunPointer& aRun) { return aRun->IsUncertain(); });
    counts.mWorkers += worker.mRegistered ? 1 : 0;
    counts.mReachableWorkers += worker.mReachable ? 1 : 0;
  }
  if (!aCell.mTeams.HasTeams()) {
    return counts;
  }
  std::map<TeamId, std::size_t> waiting;
  for (const auto& [id, job] : aCell.mJobs.Jobs()) {
    if (job.mPhase == JobPhase::Open && !job.mStarted) {
      ++waiting[job.mRecord.mTeam];
    }
  }
  for (const teams::TeamPolicy& team : *aCell.mConfiguration.mTeams) {
    counts.mTeams.push_back(aCell.mTeams.CountsOf(team.mName));
    counts.mTeams.back().mWaitingJobs = waiting[team.mName];
  }
  return counts;
}

} // namespace oriolevane::jobs
