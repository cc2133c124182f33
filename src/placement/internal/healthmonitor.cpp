#include "placement/internal/healthmonitor.h"

#include <algorithm>
#include <cmath>

namespace oriolevane::placement {

using protocol::TaskState;

namespace {

// Assumed failure rate of a faulty worker.
constexpr double kFaultyFailureRate = 0.95;
// Evidence at which a worker is quarantined: odds of 2,000 to 1.
constexpr double kQuarantineEvidence = 7.6;
// Evidence at which a worker is limited to one task at a time.
constexpr double kThrottleEvidence = 3.0;
// Upper bound of the usual failure rate, so that it stays below the rate of a
// faulty worker.
constexpr double kMaxUsualFailureRate = 0.9;
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
  const double usualFailureRate = stats.FailureRate();
  const WorkerHealth& health = mContext.mWorkers.At(attempt.mWorker).mHealth;
  if (health.mState == HealthState::Healthy) {
    stats.AddResult(failed);
  }
  if (!failed) {
    ObserveRunTime(attempt, stats);
  }
  if (mContext.mOptions.mQuarantineEnabled) {
    UpdateEvidence(attempt.mWorker, failed, usualFailureRate);
  }
}

void
HealthMonitor::ObserveRunTime(const Attempt& aAttempt,
                              WorkloadStats& aStats) const
{
  if (!aAttempt.mBatch->mPlaceTasks.mService) {
    aStats.AddRunTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      mContext.mNow - aAttempt.mPlacedAt));
  }
}

void
HealthMonitor::UpdateEvidence(WorkerIndex aWorker,
                              bool aFailed,
                              double aUsualFailureRate)
{
  WorkerHealth& health = mContext.mWorkers.At(aWorker).mHealth;
  const double usual = std::min(aUsualFailureRate, kMaxUsualFailureRate);
  const double likelihoodRatio = aFailed
                                   ? kFaultyFailureRate / usual
                                   : (1 - kFaultyFailureRate) / (1 - usual);
  health.mFailureEvidence =
    std::max(0.0, health.mFailureEvidence + std::log(likelihoodRatio));
  if (health.mState == HealthState::Probing) {
    if (aFailed) {
      Quarantine(aWorker);
    } else {
      Release(aWorker);
    }
  } else if (health.mState == HealthState::Healthy &&
             health.mFailureEvidence >= kQuarantineEvidence &&
             mContext.mQuarantinedWorkers < MaxSuspectWorkers()) {
    ++mContext.mQuarantinedWorkers;
    Quarantine(aWorker);
  }
  UpdateThrottling(health);
}

std::uint32_t
HealthMonitor::MaxSuspectWorkers() const
{
  return std::max(1U,
                  mContext.mLedger.OpenCount() *
                    mContext.mOptions.mMaxQuarantinedPerMille / kPerMille);
}

void
HealthMonitor::UpdateThrottling(WorkerHealth& aHealth)
{
  const bool isThrottled = aHealth.mState == HealthState::Healthy &&
                           aHealth.mFailureEvidence >= kThrottleEvidence;
  if (isThrottled != aHealth.mThrottled) {
    aHealth.mThrottled = isThrottled;
    mContext.mThrottledWorkers += isThrottled ? 1 : -1;
  }
}

void
HealthMonitor::Quarantine(WorkerIndex aWorker)
{
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  worker.mHealth.mState = HealthState::Quarantined;
  worker.mHealth.mBackoff = std::clamp(worker.mHealth.mBackoff * 2,
                                       mContext.mOptions.mQuarantinePeriod,
                                       mContext.mOptions.mMaxQuarantinePeriod);
  worker.mHealth.mProbeAt = mContext.mNow + worker.mHealth.mBackoff;
  mContext.mTimers.Add(
    worker.mHealth.mProbeAt, TimerKind::Probe, aWorker, worker.mGeneration);
  mContext.UpdateAvailability(aWorker);
}

void
HealthMonitor::Release(WorkerIndex aWorker)
{
  WorkerHealth& health = mContext.mWorkers.At(aWorker).mHealth;
  health.mState = HealthState::Healthy;
  // The worker stays throttled, and further failures soon quarantine it again.
  health.mFailureEvidence = kThrottleEvidence;
  --mContext.mQuarantinedWorkers;
  mContext.UpdateAvailability(aWorker);
  mContext.mFreedWorkers.Add(aWorker);
}

void
HealthMonitor::BeginProbe(WorkerIndex aWorker)
{
  WorkerHealth& health = mContext.mWorkers.At(aWorker).mHealth;
  if (health.mState != HealthState::Quarantined ||
      mContext.mNow < health.mProbeAt) {
    return;
  }
  health.mState = HealthState::Probing;
  mContext.UpdateAvailability(aWorker);
  mContext.mFreedWorkers.Add(aWorker);
}

bool
HealthMonitor::Accepts(WorkerIndex aWorker, const Attempt& aAttempt) const
{
  const WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  if (worker.mHealth.mState == HealthState::Probing) {
    const protocol::PlaceTasks& order = aAttempt.mBatch->mPlaceTasks;
    return worker.mGrantedAttempts == 0 && !order.mNeverRepeat &&
           !order.mService && !aAttempt.mBatch->IsGang();
  }
  return !worker.mHealth.mThrottled || worker.mGrantedAttempts == 0 ||
         mContext.mThrottledWorkers > MaxSuspectWorkers();
}

} // namespace oriolevane::placement
