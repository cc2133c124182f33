// Runs the scheduler under a synthetic load of several job classes in simulated
// time and measures how many jobs meet their objective.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/tests/fakecell.h"

namespace oriolevane::jobs {

// A lognormal distribution that is cut off at a maximum.
struct LognormalParameters
{
  double mMean = 1.0;
  // Standard deviation as a share of the mean; 0 for a constant.
  double mVariation = 0.0;
  // Larger samples are replaced by this value.
  double mMax = 1.0;
};

// Jobs of one queue that are drawn from the same distributions.
struct JobClass
{
  QueuePolicy mQueue;
  // Empty for none.
  TeamId mTeam;
  double mJobsPerSecond = 1.0;
  // Steps of a job, which run one after another.
  LognormalParameters mSteps;
  LognormalParameters mTasksPerStep;
  // Resources of each task.
  LognormalParameters mMilliCores;
  LognormalParameters mMemoryMiB;
  // Run time of each task on a worker of normal speed.
  LognormalParameters mRunTimeMs;
  // Share of the jobs whose steps are gangs.
  double mGangShare = 0.0;
  // Share of the steps whose tasks save their progress.
  double mCheckpointingShare = 0.0;
  // Maximum error of the run time estimates, as a share of the run time.
  double mEstimateError = 0.0;
  // How much the run times of tasks of one step differ, as a share of their
  // mean to either side. The members of a gang end together.
  double mUnevenness = 0.0;
  // Share of the runs that fail.
  double mFailedShare = 0.0;
  // Share of the workers that the policy service allows for a step.
  double mAllowedShare = 1.0;
  // Value of a job of mean size to its caller, in arbitrary units, when it
  // completes within its objective and when it completes late.
  double mValueInTime = 1.0;
  double mValueWhenLate = 0.2;
};

// A period during which one job class arrives at a higher rate.
struct LoadBurst
{
  // Index into LoadTrialOptions::mJobClasses.
  std::size_t mJobClass = 0;
  // Times since the first jobs can arrive.
  Millis mFrom{ 0 };
  Millis mUntil{ 0 };
  double mRateFactor = 1.0;
};

// A load, the cell that runs it and the scheduling policy.
struct LoadTrialOptions
{
  std::uint64_t mSeed = 1;
  int mWorkers = 48;
  Resources mCapacity{ .mMilliCores = 64000, .mMemoryMiB = 262144 };
  // Hosts that query the policy service. Each has one query in progress at a
  // time.
  int mQueryHosts = 8;
  // Period in which jobs arrive. The trial continues for as long again, so that
  // accepted jobs can complete.
  Millis mDuration{ 30000 };
  std::vector<JobClass> mJobClasses;
  std::vector<LoadBurst> mBursts;
  // Refused jobs are submitted again after the delay that the refusal states.
  std::vector<teams::TeamPolicy> mTeams;
  SchedulerOptions mScheduling;
};

// Results of one job class.
struct JobClassOutcome
{
  int mJobs = 0;
  // Jobs that completed within their objective.
  int mInTime = 0;
  // Jobs that completed late but are still of use to their callers.
  int mLate = 0;
  // Submissions that were refused on account of the team.
  int mRefusals = 0;
  // Value of all jobs if each had completed in time.
  double mPossibleValue = 0;
  // Value of the jobs as they completed.
  double mEarnedValue = 0;

  // The share of all jobs, and of the tenth with the most work, that completed
  // in time or late.
  double mServedShare = 0;
  double mLargestServedShare = 0;

  // Earned value as a share of the possible value; 0 without any jobs.
  double EarnedShare() const
  {
    return mPossibleValue > 0 ? mEarnedValue / mPossibleValue : 0;
  }
};

// Results of a load trial, with one entry per job class in the order of the
// options.
struct LoadOutcome
{
  std::vector<JobClassOutcome> mJobClasses;
  // Average share of the processors in use while jobs arrive.
  double mUtilization = 0;
  // Invariants of the scheduler that were violated.
  std::vector<std::string> mViolations;

  // Earned value of all job classes as a share of the possible value.
  double EarnedShare() const;
};

// Returns the workload mix of the first of two user sites, for 48 workers:
// gangs of route jobs, certificate jobs and short booking jobs.
LoadTrialOptions
RouteAndBookingLoad();
// Returns the workload mix of the second site, grown to 350 workers: gangs of
// model jobs, match jobs and short preview jobs.
LoadTrialOptions
LargeModelAndPreviewLoad();
// Returns the workload mix of the first site, grown to 1,100 workers: wide
// gangs of route jobs, certificate jobs and short booking jobs.
LoadTrialOptions
WideRouteAndBookingLoad();
// Returns a mix of short lookup jobs and long print jobs, for 48 workers of 16
// cores.
LoadTrialOptions
LookupAndPrintLoad();
// Returns the first site's mix, divided among five teams. The job classes of
// the last team come last.
LoadTrialOptions
TeamLoad();
// Returns the same mix while the last team sends five times its usual load.
LoadTrialOptions
TeamFloodLoad();
// Adds up the results of each team's job classes.
std::map<TeamId, JobClassOutcome>
OutcomeByTeam(const LoadTrialOptions& aOptions, const LoadOutcome& aOutcome);

// Runs the load until twice its duration has passed and returns the results.
LoadOutcome
RunLoadTrial(const LoadTrialOptions& aOptions);

} // namespace oriolevane::jobs
