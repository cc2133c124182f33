// Draws the jobs of a load trial.
#pragma once

#include <string>
#include <vector>

#include "jobs/tests/loadtrial.h"

namespace oriolevane::jobs {

// A job of the load, drawn before the trial starts.
struct PlannedJob
{
  std::string mId;
  // Index into LoadTrialOptions::mJobClasses.
  std::size_t mJobClass = 0;
  // Time since the end of the warm-up.
  Millis mSubmitAt{ 0 };
  JobSpec mSpec;
  // Actual run time of a task of each step on a worker of normal speed.
  std::vector<Millis> mRunTimes;
  double mCoreSeconds = 0;
};

// Draws all jobs of the load with exponential interarrival times, ordered by
// their arrival.
std::vector<PlannedJob>
PlanJobs(const LoadTrialOptions& aOptions);

} // namespace oriolevane::jobs
