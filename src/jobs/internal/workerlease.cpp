#include "jobs/internal/workerlease.h"

#include <algorithm>

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// A worker's clock may run slow by this factor, so a lease may last this much
// longer than agreed.
constexpr double kMaxClockSlowdown = 1.0204;
// Safety margin on the time by which a lease has expired.
constexpr std::chrono::milliseconds kLeaseMargin = 150ms;
// The same for the leases of an earlier owner.
constexpr std::chrono::milliseconds kRecoveredLeaseMargin = 300ms;

// By when all runs have ended whose lease is extended at aStart.
TimePoint
LatestRunEnd(TimePoint aStart,
             Duration aLease,
             Duration aMargin,
             const SchedulerOptions& aOptions)
{
  const auto lease =
    std::chrono::duration_cast<Duration>(aLease * kMaxClockSlowdown);
  return aStart + lease + aMargin + aOptions.mMaxStopDuration;
}

} // namespace

void
WorkerLease::Recover(WorkerIncarnation aSettled,
                     TimePoint aNow,
                     const SchedulerOptions& aOptions)
{
  mSettled = aSettled;
  // The earlier owner may go on for as long as it may own the shard.
  Duration lease = aOptions.mOwnershipLease;
  const Duration formerLease =
    std::max<Duration>(lease, aOptions.mLongestLease);
  mFormerRunsEndBy =
    LatestRunEnd(aNow, formerLease, kRecoveredLeaseMargin, aOptions);
  if (!IsSettled()) {
    lease += aOptions.mLongestLease;
  }
  mPresentRunsEndBy =
    LatestRunEnd(aNow, lease, kRecoveredLeaseMargin, aOptions);
}

void
WorkerLease::EndPredecessor(TimePoint aNow, const SchedulerOptions& aOptions)
{
  const Duration lease = IsSettled() ? aOptions.mLease : aOptions.mLongestLease;
  const TimePoint latestEnd =
    LatestRunEnd(aNow, lease, kRecoveredLeaseMargin, aOptions);
  mFormerRunsEndBy = std::min(mFormerRunsEndBy, latestEnd);
  if (!mRefusesEarlierOrders) {
    mPresentRunsEndBy = std::min(mPresentRunsEndBy, latestEnd);
  }
}

void
WorkerLease::EndPredecessorsRunsBy(TimePoint aEnd)
{
  const TimePoint end = aEnd + kRecoveredLeaseMargin;
  mFormerRunsEndBy = std::min(mFormerRunsEndBy, end);
  mPresentRunsEndBy = std::min(mPresentRunsEndBy, end);
}

void
WorkerLease::Extend(TimePoint aNow,
                    Duration aLength,
                    const SchedulerOptions& aOptions)
{
  mPresentRunsEndBy = std::max(
    mPresentRunsEndBy, LatestRunEnd(aNow, aLength, kLeaseMargin, aOptions));
}

bool
WorkerLease::BeginIncarnation()
{
  mRefusesEarlierOrders = false;
  mFormerRunsEndBy = std::max(mFormerRunsEndBy, mPresentRunsEndBy);
  return Unsettle();
}

bool
WorkerLease::RefuseEarlierOrders(WorkerIncarnation aPresent,
                                 TimePoint aNow,
                                 const SchedulerOptions& aOptions)
{
  if (mRefusesEarlierOrders) {
    return false;
  }
  mRefusesEarlierOrders = true;
  const TimePoint latestEnd =
    LatestRunEnd(aNow, aOptions.mLongestLease, kLeaseMargin, aOptions);
  if (IsSettled() && mSettled == aPresent) {
    mPresentRunsEndBy = std::min(mPresentRunsEndBy, latestEnd);
    // The leases of its former processes ended before its own was settled.
    mFormerRunsEndBy = {};
    return false;
  }
  mPresentRunsEndBy = latestEnd;
  mSettlesAt = latestEnd;
  return Unsettle();
}

bool
WorkerLease::Settle(WorkerIncarnation aPresent, TimePoint aNow)
{
  if (!mRefusesEarlierOrders || mSettled == aPresent ||
      aNow < std::max(mSettlesAt, mFormerRunsEndBy)) {
    return false;
  }
  mSettled = aPresent;
  return true;
}

bool
WorkerLease::Unsettle()
{
  const bool changed = IsSettled();
  mSettled = {};
  return changed;
}

} // namespace oriolevane::jobs
