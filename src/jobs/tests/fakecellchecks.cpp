#include <algorithm>

#include "jobs/tests/fakecell.h"

namespace oriolevane::jobs {

namespace {

// True when the amount exceeds the limit, with the excess and one task. A limit
// of 0 is none.
bool
Exceeds(std::int64_t aAmount,
        std::int64_t aLimit,
        double aExcess,
        std::int64_t aTask)
{
  return aLimit > 0 && static_cast<double>(aAmount) >
                         static_cast<double>(aLimit) * (1 + aExcess) +
                           static_cast<double>(aTask);
}

} // namespace

void
FakeCell::ReportViolation(const std::string& aRule, const TaskKey& aTask)
{
  mViolations.push_back(aRule + " " + aTask.ToText() + " at " +
                        std::to_string(mNow.count()) + " ms");
}

bool
FakeCell::HasOtherRun(const FakeRun& aRun) const
{
  const auto isOther = [&aRun](const FakeRun& aOther) {
    return aOther.mTask == aRun.mTask && &aOther != &aRun;
  };
  const auto hasOther = [&isOther](const auto& aWorker) {
    return std::ranges::any_of(aWorker->Runs(), isOther);
  };
  return std::ranges::any_of(mWorkers, hasOther) ||
         std::ranges::any_of(mFormerWorkers, hasOther);
}

void
FakeCell::OnStart(std::size_t aWorkerIndex, const FakeRun& aRun)
{
  const TaskKey& task = aRun.mTask;
  FakeWorker& worker = *mWorkers[aWorkerIndex];
  mStarts[task].push_back(worker.Entry().mId);
  if (!IsWithinCapacity(aWorkerIndex)) {
    ReportViolation("over capacity", task);
  }
  CheckQuota(aRun);
  CheckCrashes(aRun);
  if (HasOtherRun(aRun)) {
    ReportViolation("two runs at once", task);
  }
  if (mConfirmedSuccesses.contains(task)) {
    ReportViolation("started after success", task);
  }
  for (const int earlier : FindStepSpec(task)->mAfter) {
    const StepSpec& before = mSpecs.at(task.mStep.mJob.mValue).mSteps[earlier];
    for (int index = 0; index < before.mTaskCount; ++index) {
      TaskKey key = task;
      key.mStep.mStep = earlier;
      key.mIndex = index;
      if (!mSucceededTasks.contains(key)) {
        ReportViolation("started before an earlier step", task);
      }
    }
  }
  const std::size_t maxAttempts =
    mQueues.at(task.mStep.mJob.mValue).mMaxAttempts;
  if (mConfirmedFailures[task].size() >= maxAttempts) {
    ReportViolation("started after too many failures", task);
  }
  if (mCancelledJobs.contains(task.mStep.mJob.mValue)) {
    ReportViolation("started after cancelling", task);
  }
}

void
FakeCell::OnEnd(std::size_t, const FakeRun& aRun, EndKind aKind)
{
  const StepSpec& spec = *FindStepSpec(aRun.mTask);
  if (aKind == EndKind::Succeeded) {
    mSucceededTasks.insert(aRun.mTask);
  }
  if (aKind == EndKind::Failed) {
    TaskKey failed = aRun.mTask;
    failed.mIndex = spec.mGang ? 0 : failed.mIndex;
    mFailedRuns[failed].insert(aRun.mRun);
  }
  if (!spec.mGang) {
    return;
  }
  if (aKind == EndKind::Succeeded) {
    TaskKey member = aRun.mTask;
    for (member.mIndex = 0; member.mIndex < spec.mTaskCount; ++member.mIndex) {
      mSucceededTasks.insert(member);
    }
  }
  EndOtherGangMembers(mWorkers, aRun, spec.mTaskCount, aKind, mNow);
}

void
FakeCell::OnConfirmed(const EndedTask& aEnd)
{
  if (aEnd.mKind == EndKind::Succeeded) {
    mConfirmedSuccesses.insert(aEnd.mTask);
  }
  if (aEnd.mKind == EndKind::Failed) {
    mConfirmedFailures[aEnd.mTask].insert(aEnd.mRun);
  }
}

Resources
FakeCell::UsageOf(const TeamId& aTeam) const
{
  Resources usage;
  for (const auto& worker : mWorkers) {
    for (const FakeRun& run : worker->Runs()) {
      if (mTeams.at(run.mTask.mStep.mJob.mValue) == aTeam) {
        usage += run.mResources;
      }
    }
  }
  return usage;
}

void
FakeCell::CheckCrashes(const FakeRun& aRun)
{
  const TaskKey& task = aRun.mTask;
  if (aRun.mPlan.mCrashesWorkerAfter.has_value() &&
      mCrashes[task] - mMissedCrashes[task] >= 3 &&
      ++mStartsAfterCrashes[task] > 2) {
    ReportViolation("started three times after three crashes", task);
  }
}

bool
FakeCell::HasCauseToFail(const std::string& aJob) const
{
  const std::size_t maxAttempts = mQueues.at(aJob).mMaxAttempts;
  const auto isOfJob = [&aJob](const TaskKey& aTask) {
    return aTask.mStep.mJob.mValue == aJob;
  };
  return std::ranges::any_of(mFailedRuns,
                             [&](const auto& aEntry) {
                               return isOfJob(aEntry.first) &&
                                      aEntry.second.size() >= maxAttempts;
                             }) ||
         std::ranges::any_of(mCrashedWorkers, [&](const auto& aEntry) {
           return isOfJob(aEntry.first) && aEntry.second.size() >= 2;
         });
}

std::string
FakeCell::FailedWithoutCause() const
{
  std::string jobs;
  for (const auto& [job, spec] : mSpecs) {
    if (StateOf(job) == JobState::Failed && !HasCauseToFail(job)) {
      jobs += job + " failed without a cause\n";
    }
  }
  return jobs;
}

void
FakeCell::NoteMissedCrashes()
{
  mMissedCrashes = mCrashes;
  for (const auto& [key, value] : mRecords) {
    const auto* record = std::get_if<ProgressRecord>(&value);
    if (record == nullptr) {
      continue;
    }
    for (const StepProgress& step : record->mSteps) {
      for (const TaskProgress& task : step.mTasks) {
        const TaskKey taskKey{ .mStep = { .mJob = record->mJob,
                                          .mOccurrence = record->mOccurrence,
                                          .mStep = step.mStep },
                               .mIndex = task.mIndex };
        mMissedCrashes[taskKey] -=
          static_cast<int>(task.mCrashes.size() + task.mLostRuns.size());
      }
    }
  }
}

void
FakeCell::CheckQuota(const FakeRun& aRun)
{
  const TeamId& team = mTeams.at(aRun.mTask.mStep.mJob.mValue);
  if (team.Empty() || !mConfiguration.mTeams.has_value()) {
    return;
  }
  const Resources usage = UsageOf(team);
  const Resources& task = aRun.mResources;
  const double excess = mOptions.mScheduling.mQuotaExcess;
  for (const teams::TeamPolicy& policy : *mConfiguration.mTeams) {
    const Resources& quota = policy.mQuota;
    if (policy.mName == team &&
        (Exceeds(
           usage.mMilliCores, quota.mMilliCores, excess, task.mMilliCores) ||
         Exceeds(
           usage.mMemoryMiB, quota.mMemoryMiB, excess, task.mMemoryMiB))) {
      ReportViolation("over the quota of team " + team.mValue, aRun.mTask);
    }
  }
}

} // namespace oriolevane::jobs
