#include "jobs/tests/plannedjobs.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace oriolevane::jobs {

namespace {

// Draws a value from the distribution, limited to its maximum. A constant is
// returned as it is.
double
Sample(const LognormalParameters& aParameters, std::mt19937_64& aRandom)
{
  if (aParameters.mVariation <= 0) {
    return aParameters.mMean;
  }
  const double variance =
    std::log(1 + aParameters.mVariation * aParameters.mVariation);
  std::lognormal_distribution<double> distribution(
    std::log(aParameters.mMean) - variance / 2, std::sqrt(variance));
  return std::min(distribution(aRandom), aParameters.mMax);
}

// Draws a job of a class, without its id and arrival time.
PlannedJob
SampleJob(const JobClass& aJobClass, std::mt19937_64& aRandom)
{
  std::uniform_real_distribution<double> unit(0, 1);
  const int steps = std::max(
    1, static_cast<int>(std::lround(Sample(aJobClass.mSteps, aRandom))));
  const bool gang = unit(aRandom) < aJobClass.mGangShare;
  PlannedJob job;
  for (int step = 0; step < steps; ++step) {
    StepSpec spec;
    spec.mTaskCount = std::max(
      1,
      static_cast<int>(std::lround(Sample(aJobClass.mTasksPerStep, aRandom))));
    spec.mResources = { .mMilliCores = static_cast<std::int64_t>(
                          Sample(aJobClass.mMilliCores, aRandom)),
                        .mMemoryMiB = static_cast<std::int64_t>(
                          Sample(aJobClass.mMemoryMiB, aRandom)) };
    const double run = Sample(aJobClass.mRunTimeMs, aRandom);
    const double error = 1 + aJobClass.mEstimateError * (2 * unit(aRandom) - 1);
    spec.mEstimate = Millis(static_cast<std::int64_t>(run * error));
    spec.mGang = gang;
    spec.mCheckpointing = unit(aRandom) < aJobClass.mCheckpointingShare;
    if (step > 0) {
      spec.mAfter = { step - 1 };
    }
    job.mCoreSeconds += spec.mTaskCount * run *
                        static_cast<double>(spec.mResources.mMilliCores) / 1e6;
    job.mRunTimes.emplace_back(static_cast<std::int64_t>(run));
    job.mSpec.mSteps.push_back(std::move(spec));
  }
  return job;
}

// Returns the arrival rate of a job class at a time, in jobs per second.
double
RateAt(const LoadTrialOptions& aOptions, std::size_t aJobClass, Millis aAt)
{
  double rate = aOptions.mJobClasses[aJobClass].mJobsPerSecond;
  for (const LoadBurst& burst : aOptions.mBursts) {
    if (burst.mJobClass == aJobClass && burst.mFrom <= aAt &&
        aAt < burst.mUntil) {
      rate *= burst.mRateFactor;
    }
  }
  return rate;
}

} // namespace

std::vector<PlannedJob>
PlanJobs(const LoadTrialOptions& aOptions)
{
  std::vector<PlannedJob> jobs;
  for (std::size_t jobClass = 0; jobClass < aOptions.mJobClasses.size();
       ++jobClass) {
    std::mt19937_64 random(aOptions.mSeed * 31 + jobClass);
    double at = 0;
    const auto end = static_cast<double>(aOptions.mDuration.count());
    while (true) {
      const double rate =
        RateAt(aOptions, jobClass, Millis(static_cast<std::int64_t>(at)));
      at += 1000 * std::exponential_distribution<double>(rate)(random);
      if (at >= end) {
        break;
      }
      PlannedJob job = SampleJob(aOptions.mJobClasses[jobClass], random);
      job.mJobClass = jobClass;
      job.mSubmitAt = Millis(static_cast<std::int64_t>(at));
      job.mId = std::to_string(jobClass) + "x" + std::to_string(jobs.size());
      jobs.push_back(std::move(job));
    }
  }
  std::sort(jobs.begin(),
            jobs.end(),
            [](const PlannedJob& aLeft, const PlannedJob& aRight) {
              return aLeft.mSubmitAt < aRight.mSubmitAt;
            });
  return jobs;
}

} // namespace oriolevane::jobs
