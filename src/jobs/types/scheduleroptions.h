// Options and hooks of a scheduler.
#pragma once

#include <chrono>
#include <functional>

#include "footprint/footprintbudget.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "jobs/types/jobstate.h"
#include "jobs/types/orders.h"

namespace oriolevane::jobs {

// A point in time on both the steady clock and the wall clock.
struct Moment
{
  TimePoint mSteady;
  // Unix time.
  std::chrono::milliseconds mUnix{ 0 };
};

// The order in which waiting steps are considered for placement.
enum class SchedulingOrder
{
  // By whether the objective can still be met, then by priority and slack.
  Urgency,
  // First come, first served.
  Arrival,
  // By the queue's priority, then first come, first served.
  Priority
};

// Options that are fixed while a scheduler exists.
struct SchedulerOptions
{
  // Ownership term of the shard. It is the high-order part of every fencing
  // token.
  Epoch mEpoch;
  // Longest lease that a worker accepts.
  std::chrono::milliseconds mLongestLease{ 6000 };
  // Length of the lease that every poll renews.
  std::chrono::milliseconds mLease{ 4000 };
  // How long an owner may renew leases after its last write to the store. A
  // node that takes over waits for the same time before it restarts tasks that
  // may still run on workers that it cannot reach.
  std::chrono::milliseconds mOwnershipLease{ 8000 };
  // How long the final states of jobs are kept.
  std::chrono::milliseconds mFinishedRetention{ 130000 };
  // Factor by which tasks take longer on a rack that does not hold their data.
  double mRemoteFactor = 1.0;
  // Maximum time from a stop order to the end of the run.
  std::chrono::milliseconds mMaxStopDuration{ 900 };
  SchedulingOrder mOrder = SchedulingOrder::Urgency;
  // The part of a team's quota by which a gang may exceed it.
  double mQuotaExcess = 0.0;
  // What the open jobs may take of the node together.
  footprint::FootprintLimits mJobLimits;
};

// Functions through which a scheduler sends orders and reports events.
struct SchedulerHooks
{
  std::function<void(const StartOrder&)> mStart;
  std::function<void(const StopOrder&)> mStop;
  std::function<void(const PollOrder&)> mPoll;
  // Each query must be reported back once with CellScheduler::OnAdvice(), also
  // when there is no answer. Until then its step is not asked about again.
  std::function<void(const AdviceQuery&)> mAskAdvice;
  // Called when a worker refuses an order because it has seen the token of a
  // later owner.
  std::function<void(const WorkerId&)> mOnFenced;
  // Called when the scheduler has to know soon whether this node still owns the
  // shard.
  std::function<void()> mOnProofWanted = [] {};
  // Called when a step starts, with the time since it became ready.
  std::function<void(Duration)> mOnStepStarted = [](Duration) {};
  // Called when a job ends, with the time since it was accepted.
  std::function<void(CloseReason, Duration)> mOnJobClosed = [](CloseReason,
                                                               Duration) {};
};

} // namespace oriolevane::jobs
