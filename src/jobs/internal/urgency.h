// Computes the order in which waiting steps are considered for dispatch.
#pragma once

#include <compare>

#include "jobs/internal/job.h"
#include "jobs/types/scheduleroptions.h"

namespace oriolevane::jobs {

// Whether a step can still meet its job's objective. The order of the values is
// the dispatch order.
enum class ObjectiveStatus
{
  OnTime,
  // The objective is missed, but the result is still of use to the caller.
  Late,
  // The result comes too late to be of use.
  Expired
};

// The sort key of a waiting step. Members are compared in the order of their
// declaration, and the lesser value is dispatched first.
struct Urgency
{
  ObjectiveStatus mObjectiveStatus = ObjectiveStatus::OnTime;
  // Priority of the queue; 0 is the highest.
  int mPriority = 0;
  // Slack or acceptance time, depending on the scheduling order.
  Duration mSortKey{};
  // How long the start can be delayed before the objective is missed; negative
  // when it is missed already.
  Duration mSlack{};

  auto operator<=>(const Urgency&) const = default;
};

// Computes the objective of a job and the remaining time from each of its
// steps, from the estimates and the policy of its queue.
JobTimes
ComputeJobTimes(const JobRecord& aRecord);

// The urgency of a step by objective, priority and slack. The slack of a
// repeated job counts from the due time of the step's occurrence, and that of a
// long-running step from when its tasks began to wait.
Urgency
UrgencyOf(const Job& aJob, const StepKey& aStep, const Moment& aNow);

// The urgency of a step under a scheduling order. Arrival and Priority ignore
// the objective and sort by acceptance time.
Urgency
UrgencyInOrder(SchedulingOrder aOrder,
               const Job& aJob,
               const StepKey& aStep,
               const Moment& aNow);

} // namespace oriolevane::jobs
