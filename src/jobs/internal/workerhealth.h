// How reliable and how fast a worker has been.
#pragma once

#include <optional>
#include <set>

#include "framework/types/timepoint.h"
#include "jobs/internal/relativeruntime.h"
#include "jobs/types/jobrecord.h"

namespace oriolevane::jobs {

// Starts out as that of a worker of which nothing is known.
struct WorkerHealth
{
  // Jobs with failed runs on this worker since it was last shown to work.
  std::set<JobId> mFailedJobs;
  // No task is started on the worker before this time, because it refused a
  // start or did not answer one.
  TimePoint mAvoidUntil;
  // The same, because it is suspected of a fault.
  TimePoint mSuspectedUntil;
  // Since when only one task at a time is started on the worker, until one
  // shows that it works; nothing for a worker that is not on trial.
  std::optional<TimePoint> mTrialSince;
  // When the latest failed run ended.
  TimePoint mLastFailureAt;
  // Ratio of actual to estimated run times, smoothed; 1 is as estimated.
  double mSlowness = 1.0;
  RelativeRunTime mRunTime;

  bool IsOnTrial() const { return mTrialSince.has_value(); }
};

} // namespace oriolevane::jobs
