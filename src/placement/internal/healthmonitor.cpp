#include "placement/internal/healthmonitor.h"

#include <algorithm>
#include <cmath>

namespace oriolevane::placement {

using protocol::TaskState;

namespace {

// Failure rate of a worker that fails everything.
constexpr double kBadRate = 0.95;
// Evidence at which a worker is taken out of use: odds of 2,000 to one.
constexpr double kQuarantineAt = 7.6;
// Evidence at which it gets one task at a time.
constexpr double kCautiousAt = 3.0;
constexpr double kMostUsualRate = 0.9;
constexpr std::uint32_t kPerMille = 1000;

} // namespace

void
HealthMonitor::Observe(AttemptIndex aIndex, const protocol::EndedTask& aTask)
{
  const Attempt& attempt = mContext.mAttempts.At(aIndex);
  if (attempt.mBatch == nullptr || aTask.mStopped) {
    return;
  }
  WorkloadStats& stats =
    mContext.mWorkloads.At(attempt.mBatch->mWorkload).mStats;
  const bool failed = !aTask.mStarted || !aTask.mSucceeded;
  const double usualRate = stats.FailureRate();
  const WorkerHealth& health = mContext.mWorkers.At(attempt.mWorker).mHealth;
  if (health.mState == HealthState::Healthy) {
    stats.AddResult(failed);
  }
  if (!failed) {
    ObserveRunTime(attempt, stats);
  }
  if (mContext.mOptions.mQuarantine) {
    Weigh(attempt.mWorker, failed, usualRate);
  }
}

void
HealthMonitor::ObserveRunTime(const Attempt& aAttempt,
                              WorkloadStats& aStats) const
{
  if (!aAttempt.mBatch->mOrder.mService) {
    aStats.AddRunTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      mContext.mNow - aAttempt.mPlacedAt));
  }
}

void
HealthMonitor::Weigh(WorkerIndex aWorker, bool aFailed, double aUsualRate)
{
  WorkerHealth& health = mContext.mWorkers.At(aWorker).mHealth;
  const double usual = std::min(aUsualRate, kMostUsualRate);
  const double ratio =
    aFailed ? kBadRate / usual : (1 - kBadRate) / (1 - usual);
  health.mSuspicion = std::max(0.0, health.mSuspicion + std::log(ratio));
  if (health.mState == HealthState::Probing) {
    if (aFailed) {
      Quarantine(aWorker);
    } else {
      Release(aWorker);
    }
  } else if (health.mState == HealthState::Healthy &&
             health.mSuspicion >= kQuarantineAt &&
             mContext.mQuarantined < MostSuspects()) {
    ++mContext.mQuarantined;
    Quarantine(aWorker);
  }
  UpdateCaution(health);
}

std::uint32_t
HealthMonitor::MostSuspects() const
{
  return std::max(1U,
                  mContext.mLedger.OpenCount() *
                    mContext.mOptions.mQuarantinePerMille / kPerMille);
}

void
HealthMonitor::UpdateCaution(WorkerHealth& aHealth)
{
  const bool isCautious =
    aHealth.mState == HealthState::Healthy && aHealth.mSuspicion >= kCautiousAt;
  if (isCautious != aHealth.mCautious) {
    aHealth.mCautious = isCautious;
    mContext.mCautious += isCautious ? 1 : -1;
  }
}

void
HealthMonitor::Quarantine(WorkerIndex aWorker)
{
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  worker.mHealth.mState = HealthState::Quarantined;
  worker.mHealth.mBackoff = std::clamp(worker.mHealth.mBackoff * 2,
                                       mContext.mOptions.mQuarantineFor,
                                       mContext.mOptions.mQuarantineCap);
  worker.mHealth.mRetryAt = mContext.mNow + worker.mHealth.mBackoff;
  mContext.mTimers.Add(
    worker.mHealth.mRetryAt, TimerKind::Probe, aWorker, worker.mGeneration);
  mContext.Refresh(aWorker);
}

void
HealthMonitor::Release(WorkerIndex aWorker)
{
  WorkerHealth& health = mContext.mWorkers.At(aWorker).mHealth;
  health.mState = HealthState::Healthy;
  // The next failure finds it under suspicion still.
  health.mSuspicion = kCautiousAt;
  --mContext.mQuarantined;
  mContext.Refresh(aWorker);
  mContext.mFreed.Add(aWorker);
}

void
HealthMonitor::BeginProbe(WorkerIndex aWorker)
{
  WorkerHealth& health = mContext.mWorkers.At(aWorker).mHealth;
  if (health.mState != HealthState::Quarantined ||
      mContext.mNow < health.mRetryAt) {
    return;
  }
  health.mState = HealthState::Probing;
  mContext.Refresh(aWorker);
  mContext.mFreed.Add(aWorker);
}

bool
HealthMonitor::Accepts(WorkerIndex aWorker, const Attempt& aAttempt) const
{
  const WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  if (worker.mHealth.mState == HealthState::Probing) {
    const protocol::PlaceTasks& order = aAttempt.mBatch->mOrder;
    return worker.mLive == 0 && !order.mNeverRepeat && !order.mService &&
           !aAttempt.mBatch->IsGang();
  }
  return !worker.mHealth.mCautious || worker.mLive == 0 ||
         mContext.mCautious > MostSuspects();
}

} // namespace oriolevane::placement
