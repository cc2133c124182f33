#include "jobs/internal/teamaccounts.h"

#include <algorithm>
#include <map>
#include <optional>

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

// The capacity of the workers that have not reported all of their runs yet;
// nothing when the capacity of one of them is not known.
std::optional<Resources>
UnreportedCapacity(const Fleet& aFleet)
{
  Resources capacity;
  for (const auto& [id, worker] : aFleet.Workers()) {
    if (worker.mReconciled) {
      continue;
    }
    if (!worker.mRegistered) {
      return std::nullopt;
    }
    capacity += worker.mEntry.mCapacity;
  }
  return capacity;
}

// What the tasks of a job would use that have neither succeeded nor a known
// run. All steps count, as the ends of the steps that they depend on may not
// have been recorded before their tasks started.
Resources
UnfoundUsage(const Job& aJob)
{
  Resources usage;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::size_t step = 0; step < occurrence.mSteps.size(); ++step) {
      for (const Task& task : occurrence.mSteps[step].mTasks) {
        if (task.IsWaiting()) {
          usage += aJob.mRecord.mSpec.mSteps[step].mResources;
        }
      }
    }
  }
  return usage;
}

Resources
Least(const Resources& aLeft, const Resources& aRight)
{
  return { .mMilliCores = std::min(aLeft.mMilliCores, aRight.mMilliCores),
           .mMemoryMiB = std::min(aLeft.mMemoryMiB, aRight.mMemoryMiB),
           .mAccelerators = std::min(aLeft.mAccelerators, aRight.mAccelerators),
           .mSlots = std::min(aLeft.mSlots, aRight.mSlots) };
}

} // namespace

void
TeamAccounts::Configure(const CellConfiguration& aConfiguration)
{
  mHasTeams = aConfiguration.mTeams.has_value();
  mLedger.Configure(
    aConfiguration.mTeams.value_or(std::vector<teams::TeamPolicy>()));
}

void
TeamAccounts::UpdatePresumed(const JobTable& aJobs, const Fleet& aFleet)
{
  std::map<TeamId, Resources> presumed;
  for (const auto& [id, job] : aJobs.Jobs()) {
    if (job.mRecovered && !job.mRecord.mTeam.Empty()) {
      presumed[job.mRecord.mTeam] += UnfoundUsage(job);
    }
  }
  const std::optional<Resources> capacity = UnreportedCapacity(aFleet);
  mLedger.ClearPresumed();
  for (const auto& [team, usage] : presumed) {
    mLedger.SetPresumed(team,
                        capacity.has_value() ? Least(usage, *capacity) : usage);
  }
}

bool
TeamAccounts::QuotaAllows(const Job& aJob, const StepSpec& aSpec) const
{
  const TeamId& team = aJob.mRecord.mTeam;
  if (team.Empty()) {
    return true;
  }
  return aSpec.mGang
           ? mLedger.AllowsGang(team, aSpec.mResources, aSpec.mTaskCount)
           : mLedger.Allows(team, aSpec.mResources);
}

bool
TeamAccounts::AllowsStart(const Job& aJob, const StepSpec& aSpec, bool aOnTime)
{
  const TeamId& team = aJob.mRecord.mTeam;
  if (team.Empty()) {
    return true;
  }
  if (!mHeldForGang.contains(team) && QuotaAllows(aJob, aSpec)) {
    return true;
  }
  if (aSpec.mGang && aOnTime &&
      mLedger.CanEverFit(team, aSpec.mResources, aSpec.mTaskCount)) {
    mHeldForGang.insert(team);
  }
  if (mBoundInPass.insert(team).second && !mBound.contains(team)) {
    const Resources usage = mLedger.UsageOf(team);
    const Resources quota = mLedger.QuotaOf(team);
    LogInfo("quota_binds")
      .With("team", team)
      .With("millicores", usage.mMilliCores)
      .With("memory_mib", usage.mMemoryMiB)
      .With("accelerators", usage.mAccelerators)
      .With("presumed_millicores", mLedger.PresumedOf(team).mMilliCores)
      .With("quota_millicores", quota.mMilliCores)
      .With("quota_memory_mib", quota.mMemoryMiB)
      .With("quota_accelerators", quota.mAccelerators);
  }
  return false;
}

void
TeamAccounts::BeginPass()
{
  mBoundInPass.clear();
  mHeldForGang.clear();
}

void
TeamAccounts::EndPass()
{
  mBound.swap(mBoundInPass);
}

} // namespace oriolevane::jobs
