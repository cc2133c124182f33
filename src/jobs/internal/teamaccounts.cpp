#include "jobs/internal/teamaccounts.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

// What may run on the workers that have not reported all of their runs yet;
// nothing when that is not known of one of them. Their present capacity is no
// bound, as it may have become smaller than what runs there.
std::optional<Resources>
UnreportedCapacity(const Fleet& aFleet)
{
  Resources capacity;
  for (const auto& [id, worker] : aFleet.Workers()) {
    if (aFleet.KnowsAllRunsOf(worker)) {
      continue;
    }
    if (!worker.mMaxCapacity.has_value()) {
      return std::nullopt;
    }
    capacity += *worker.mMaxCapacity;
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

// Nothing is free where a worker's runs exceed its capacity.
Resources
FreeOn(const Worker& aWorker)
{
  const Resources free = aWorker.mEntry.mCapacity - aWorker.mUsed;
  return { .mMilliCores = std::max<std::int64_t>(free.mMilliCores, 0),
           .mMemoryMiB = std::max<std::int64_t>(free.mMemoryMiB, 0),
           .mAccelerators = std::max<std::int64_t>(free.mAccelerators, 0),
           .mSlots = std::max<std::int64_t>(free.mSlots, 0) };
}

// What the steps need that can start at once.
Resources
InitialDemand(const JobSpec& aSpec)
{
  Resources demand;
  for (const StepSpec& step : aSpec.mSteps) {
    if (step.mAfter.empty()) {
      demand += Times(step.mResources, step.mTaskCount);
    }
  }
  return demand;
}

} // namespace

void
TeamAccounts::Configure(const CellConfiguration& aConfiguration)
{
  mHasTeams = aConfiguration.mTeams.has_value();
  const std::vector<teams::TeamPolicy> policies =
    aConfiguration.mTeams.value_or(std::vector<teams::TeamPolicy>());
  mLedger.Configure(policies);
  mMeter.Configure(policies);
  mOrder.Configure(policies);
  mAdmission.Configure(policies);
  std::map<TeamId, std::map<RefusalReason, std::uint64_t>> refused;
  for (const teams::TeamPolicy& team : policies) {
    refused[team.mName] = mRefused[team.mName];
  }
  mRefused = std::move(refused);
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
TeamAccounts::BeginPass(const Fleet& aFleet)
{
  mBoundInPass.clear();
  mHeldForGang.clear();
  mGuaranteedWaits = false;
  if (!mHasTeams) {
    return;
  }
  Resources capacity;
  Resources free;
  for (const auto& [id, worker] : aFleet.Workers()) {
    capacity += worker.mRegistered ? worker.mEntry.mCapacity : Resources();
    free += worker.mWasUsable ? FreeOn(worker) : Resources();
  }
  mOrder.SetCapacity(capacity);
  mAdmission.BeginPass(free);
}

void
TeamAccounts::NoteWaiting(const Job& aJob,
                          const Step& aStep,
                          const StepSpec& aSpec,
                          TimePoint aNow)
{
  if (!mHasTeams || !aStep.mNoRoomSince.has_value()) {
    return;
  }
  const auto waiting =
    std::count_if(aStep.mTasks.begin(),
                  aStep.mTasks.end(),
                  [](const Task& aTask) { return aTask.IsWaiting(); });
  mAdmission.NoteDemand(Times(aSpec.mResources, waiting));
  if (aJob.mRecord.mBorrows) {
    mAdmission.NoteBorrowingStep();
    return;
  }
  mGuaranteedWaits = true;
  mAdmission.NoteGuaranteedWait(aJob.mRecord.mTeam, aNow - *aStep.mNoRoomSince);
}

void
TeamAccounts::EndPass()
{
  mBound.swap(mBoundInPass);
}

bool
TeamAccounts::MeterSubmission(const TeamId& aTeam,
                              const JobSpec& aSpec,
                              TimePoint aNow)
{
  if (!mHasTeams || aTeam.Empty()) {
    return false;
  }
  // Counts until the next placement pass, so that jobs that arrive together are
  // not all admitted to the same free capacity.
  mAdmission.NoteDemand(InitialDemand(aSpec));
  return !mMeter.TakeToken(aTeam, aNow);
}

std::optional<Refusal>
TeamAccounts::FindRefusal(const JobId& aId,
                          const TeamId& aTeam,
                          const JobSpec& aSpec,
                          TimePoint aNow) const
{
  for (const StepSpec& step : aSpec.mSteps) {
    if (step.mGang &&
        !mLedger.CanEverFit(aTeam, step.mResources, step.mTaskCount)) {
      return Refusal{ .mReason = RefusalReason::GangExceedsQuota,
                      .mRetryAfter = std::nullopt,
                      .mMessage =
                        "a gang of the job exceeds the team's quota" };
    }
  }
  if (mMeter.HasToken(aTeam, aNow)) {
    return std::nullopt;
  }
  const std::optional<std::chrono::seconds> delay =
    mAdmission.RetryAfter(aTeam, aId.mValue, InitialDemand(aSpec));
  if (!delay.has_value()) {
    return std::nullopt;
  }
  return Refusal{ .mReason = RefusalReason::GuaranteedWorkWaits,
                  .mRetryAfter = delay,
                  .mMessage = "the team exceeds its guaranteed rate while "
                              "other teams wait for capacity" };
}

std::optional<Refusal>
TeamAccounts::RefusalFor(const JobId& aId,
                         const TeamId& aTeam,
                         const JobSpec& aSpec,
                         TimePoint aNow)
{
  if (!mHasTeams || aTeam.Empty()) {
    return std::nullopt;
  }
  std::optional<Refusal> refusal = FindRefusal(aId, aTeam, aSpec, aNow);
  if (!refusal.has_value()) {
    return std::nullopt;
  }
  if (const auto refused = mRefused.find(aTeam); refused != mRefused.end()) {
    ++refused->second[refusal->mReason];
  }
  LogInfo(refusal->mReason == RefusalReason::GangExceedsQuota
            ? "gang_exceeds_quota"
            : "borrowing_job_refused")
    .With("team", aTeam)
    .With("job", aId)
    .With("retry_after_s",
          refusal->mRetryAfter.value_or(std::chrono::seconds(0)).count());
  return refusal;
}

std::vector<double>
TeamAccounts::FairKeys(const std::vector<teams::WaitingDemand>& aDemands) const
{
  return mOrder.SortKeys(
    aDemands, [this](const TeamId& aTeam) { return mLedger.UsageOf(aTeam); });
}

TeamCounts
TeamAccounts::CountsOf(const TeamId& aTeam) const
{
  const Resources usage = mLedger.UsageOf(aTeam);
  const auto refused = mRefused.find(aTeam);
  return { .mTeam = aTeam,
           .mRunning = usage,
           .mQuota = mLedger.QuotaOf(aTeam),
           .mDominantShare = mOrder.DominantShare(usage),
           .mRefused = refused == mRefused.end()
                         ? std::map<RefusalReason, std::uint64_t>()
                         : refused->second };
}

} // namespace oriolevane::jobs
