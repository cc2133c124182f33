#include "jobs/internal/failureattribution.h"

#include "framework/log.h"
#include "jobs/internal/workertrial.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// A worker is suspected of a fault after failed runs of this many jobs without
// a success in between.
constexpr std::size_t kFailedJobsUntilSuspect = 2;
constexpr std::chrono::milliseconds kSuspectAvoidance = 2500ms;
// A task fails by itself once it has failed on this many workers within the
// time below. Later its failures count against workers again, as these may have
// become faulty.
constexpr std::size_t kWorkersUntilTaskFails = 2;
constexpr std::chrono::milliseconds kMaxFailureAge = 10000ms;
// Outcomes of first runs count for one to two intervals.
constexpr std::chrono::milliseconds kOutcomeInterval = 1000ms;
constexpr int kMinFailedFirstRuns = 3;

void
NoteFailure(Task& aTask, const WorkerId& aWorker, TimePoint aNow)
{
  std::erase_if(aTask.mFailedOn, [aNow](const auto& aFailure) {
    return aFailure.second + kMaxFailureAge <= aNow;
  });
  aTask.mFailedOn.insert_or_assign(aWorker, aNow);
}

bool
IsFirstRun(const Task& aTask)
{
  return aTask.mFailedRuns.empty() && aTask.mFailedOn.empty();
}

} // namespace

void
FirstRunOutcomes::Advance(TimePoint aNow)
{
  if (aNow < mIntervalEnd) {
    return;
  }
  const bool adjacent = aNow < mIntervalEnd + kOutcomeInterval;
  mPrevious = adjacent ? mCurrent : Counts();
  mCurrent = {};
  mIntervalEnd = aNow + kOutcomeInterval;
}

void
FirstRunOutcomes::Add(bool aSucceeded, TimePoint aNow)
{
  Advance(aNow);
  ++(aSucceeded ? mCurrent.mSucceeded : mCurrent.mFailed);
}

bool
FirstRunOutcomes::MostFail(TimePoint aNow)
{
  Advance(aNow);
  const int failed = mCurrent.mFailed + mPrevious.mFailed;
  const int succeeded = mCurrent.mSucceeded + mPrevious.mSucceeded;
  return failed >= kMinFailedFirstRuns && failed > succeeded;
}

void
FailureAttribution::OnFailed(Worker& aWorker,
                             Job& aJob,
                             const Run& aRun,
                             TimePoint aNow)
{
  if (Task* task = aJob.FindTask(aRun.mTask); task != nullptr) {
    if (IsFirstRun(*task)) {
      mFirstRuns.Add(false, aNow);
    }
    NoteFailure(*task, aWorker.Id(), aNow);
    if (task->mFailedOn.size() >= kWorkersUntilTaskFails &&
        !mFirstRuns.MostFail(aNow)) {
      ClearWorkers(aJob.Id(), aNow);
      return;
    }
  }
  WorkerHealth& health = aWorker.mHealth;
  health.mFailedJobs.insert(aJob.Id());
  health.mLastFailureAt = aNow;
  if (health.mFailedJobs.size() < kFailedJobsUntilSuspect &&
      !health.IsOnTrial()) {
    return;
  }
  health.mSuspectedUntil = aNow + kSuspectAvoidance;
  health.mTrialSince = health.mTrialSince.value_or(aNow);
  LogWarning("worker_suspected")
    .With("worker", aWorker.Id())
    .With("failed_jobs", health.mFailedJobs.size())
    .With("runs", aWorker.mRuns.size());
}

void
FailureAttribution::OnSucceeded(Worker& aWorker,
                                Job& aJob,
                                const Run& aRun,
                                TimePoint aNow)
{
  const Task* task = aJob.FindTask(aRun.mTask);
  if (task != nullptr && IsFirstRun(*task)) {
    mFirstRuns.Add(true, aNow);
  }
  ClearFailures(aWorker, aNow);
}

void
FailureAttribution::ClearWorkers(const JobId& aJob, TimePoint aNow)
{
  for (auto& [id, worker] : mCell.mFleet.Workers()) {
    WorkerHealth& health = worker.mHealth;
    if (health.mFailedJobs.erase(aJob) == 0 || !health.IsOnTrial() ||
        health.mFailedJobs.size() >= kFailedJobsUntilSuspect) {
      continue;
    }
    EndTrial(worker, aNow);
    health.mSuspectedUntil = aNow;
    mCell.mFleet.NoteCapacityGain(worker);
  }
}

} // namespace oriolevane::jobs
