#include "jobs/tests/loadtrial.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>

#include "framework/stablehash.h"
#include "jobs/internal/urgency.h"
#include "jobs/tests/policyservicequeue.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// Simulated time before the first jobs arrive, in which the scheduler has
// polled all workers.
constexpr Millis kWarmUpTime = 500ms;
// Interval at which due jobs are submitted and the cell is observed.
constexpr Millis kSampleInterval = 10ms;
// A job that takes more than this many times its objective has no value.
constexpr int kMaxUsefulObjectives = 3;
// Share of the value of a job of mean size that every job has regardless of its
// size. The rest is proportional to the job's work.
constexpr double kFixedValueShare = 0.3;
// Limit on the value of a large job, relative to a job of mean size.
constexpr double kMaxRelativeValue = 4.0;
// Tasks take longer by this factor on one third of the workers, chosen by a
// hash of the worker id.
constexpr double kSlowWorkerFactor = 1.3;
constexpr Millis kStopTime = 300ms;
// Resolution of shares that are decided by a hash.
constexpr int kHashBuckets = 10000;

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

// Draws all jobs of the load with exponential interarrival times, ordered by
// their arrival.
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

// The work of a job, and whether it was of use to its caller.
struct ScoredJob
{
  double mCoreSeconds = 0;
  bool mServed = false;
};

double
ServedShare(std::vector<ScoredJob>::const_iterator aBegin,
            std::vector<ScoredJob>::const_iterator aEnd)
{
  const auto served = std::count_if(
    aBegin, aEnd, [](const ScoredJob& aJob) { return aJob.mServed; });
  return aBegin == aEnd
           ? 0
           : static_cast<double>(served) / static_cast<double>(aEnd - aBegin);
}

// One run of a load through a simulated cell.
class Trial
{
public:
  explicit Trial(const LoadTrialOptions& aOptions)
    : mOptions(aOptions)
    , mCell({ .mWorkers = aOptions.mWorkers,
              .mCapacity = aOptions.mCapacity,
              .mSeed = aOptions.mSeed,
              .mMaxBatchRecords = 90,
              .mScheduling = aOptions.mScheduling })
    , mPolicyService(mCell, aOptions.mQueryHosts)
    , mJobs(PlanJobs(aOptions))
    , mCompletedAt(mJobs.size())
  {
    mOutcome.mJobClasses.resize(aOptions.mJobClasses.size());
    mScoredJobs.resize(aOptions.mJobClasses.size());
    mCell.Scheduler().SetQueryHosts(aOptions.mQueryHosts);
    if (!aOptions.mTeams.empty()) {
      mCell.Configure(aOptions.mTeams);
    }
    mCell.mOnAdviceQuery = [this](const AdviceQuery& aQuery) {
      mPolicyService.Add(aQuery);
    };
    mCell.mIsAllowed = [this](const StepKey& aStep, const WorkerId& aWorker) {
      const double share =
        mOptions.mJobClasses[JobClassOf(aStep)].mAllowedShare;
      const std::uint64_t hash =
        StableHash(aWorker.mValue, StableHash(aStep.ToText()));
      return static_cast<double>(hash % kHashBuckets) < share * kHashBuckets;
    };
    mCell.mPlan =
      [this](const TaskKey& aTask, RunNumber aRun, const WorkerId& aWorker) {
        return PlanOf(aTask, aRun, aWorker);
      };
    for (std::size_t jobIndex = 0; jobIndex < mJobs.size(); ++jobIndex) {
      mJobIndexById[mJobs[jobIndex].mId] = jobIndex;
    }
  }

  LoadOutcome Run()
  {
    mCell.RunFor(kWarmUpTime);
    // Jobs that are unfinished when the arrivals end get time to complete.
    const Millis end = kWarmUpTime + 2 * mOptions.mDuration;
    while (mCell.Now() < end) {
      SubmitDue();
      mCell.RunFor(kSampleInterval);
      RecordCompletions();
      if (mCell.Now() < kWarmUpTime + mOptions.mDuration) {
        SampleUtilization();
      }
    }
    for (std::size_t jobIndex = 0; jobIndex < mJobs.size(); ++jobIndex) {
      ScoreJob(jobIndex);
    }
    ComputeServedShares();
    mOutcome.mUtilization /= mUtilizationSamples;
    mOutcome.mViolations = mCell.mViolations;
    return std::move(mOutcome);
  }

private:
  std::size_t JobClassOf(const StepKey& aStep) const
  {
    return mJobs[mJobIndexById.at(aStep.mJob.mValue)].mJobClass;
  }

  RunPlan PlanOf(const TaskKey& aTask,
                 RunNumber aRun,
                 const WorkerId& aWorker) const
  {
    const PlannedJob& job = mJobs[mJobIndexById.at(aTask.mStep.mJob.mValue)];
    const std::size_t step = aTask.mStep.mStep;
    const bool slow = StableHash(aWorker.mValue) % 3 == 0;
    const StepSpec& spec = job.mSpec.mSteps[step];
    // All members of a gang fail together, so their hash is that of the step.
    const std::uint64_t hash = StableHash(
      spec.mGang ? aTask.mStep.ToText() : aTask.ToText(), aRun.mValue);
    const JobClass& jobClass = mOptions.mJobClasses[job.mJobClass];
    const double share =
      static_cast<double>(StableHash(aTask.ToText()) % kHashBuckets) /
      kHashBuckets;
    const double work =
      spec.mGang ? 1.0 : 1.0 + jobClass.mUnevenness * (2 * share - 1);
    return { .mDuration = std::chrono::duration_cast<Millis>(
               job.mRunTimes[step] * work * (slow ? kSlowWorkerFactor : 1.0)),
             .mFails = static_cast<double>(hash % kHashBuckets) <
                       jobClass.mFailedShare * kHashBuckets,
             .mSavesCheckpoint = spec.mCheckpointing,
             .mStopTime = kStopTime };
  }

  void SubmitDue()
  {
    while (mNextJob < mJobs.size() &&
           kWarmUpTime + mJobs[mNextJob].mSubmitAt <= mCell.Now()) {
      Submit(mNextJob++);
    }
    while (!mRetries.empty() && mRetries.begin()->first <= mCell.Now()) {
      const std::size_t jobIndex = mRetries.begin()->second;
      mRetries.erase(mRetries.begin());
      Submit(jobIndex);
    }
  }

  // Submits a job, or tries again after the delay that its refusal states.
  void Submit(std::size_t aJobIndex)
  {
    const PlannedJob& job = mJobs[aJobIndex];
    const JobClass& jobClass = mOptions.mJobClasses[job.mJobClass];
    const std::optional<Refusal> refusal =
      mCell.Scheduler().RefusalFor({ .mId = JobId(job.mId),
                                     .mQueue = jobClass.mQueue,
                                     .mSpec = job.mSpec,
                                     .mTeam = jobClass.mTeam },
                                   mCell.NowMoment());
    if (!refusal.has_value()) {
      mCell.Submit(job.mId, job.mSpec, jobClass.mQueue, jobClass.mTeam);
      mUnfinishedJobs.push_back(aJobIndex);
      return;
    }
    ++mOutcome.mJobClasses[job.mJobClass].mRefusals;
    if (refusal->mRetryAfter.has_value()) {
      mRetries.emplace(mCell.Now() + *refusal->mRetryAfter, aJobIndex);
    }
  }

  void RecordCompletions()
  {
    std::erase_if(mUnfinishedJobs, [this](std::size_t aJobIndex) {
      const std::optional<JobState> state = mCell.StateOf(mJobs[aJobIndex].mId);
      if (!state.has_value() || !IsFinal(*state)) {
        return false;
      }
      if (*state == JobState::Completed) {
        mCompletedAt[aJobIndex] = mCell.Now();
      }
      return true;
    });
  }

  void SampleUtilization()
  {
    std::int64_t used = 0;
    for (int workerIndex = 0; workerIndex < mOptions.mWorkers; ++workerIndex) {
      used += mCell.WorkerAt(workerIndex).Used().mMilliCores;
    }
    const auto capacity =
      static_cast<double>(mOptions.mWorkers * mOptions.mCapacity.mMilliCores);
    mOutcome.mUtilization += static_cast<double>(used) / capacity;
    ++mUtilizationSamples;
  }

  // Adds a job to the results of its class. The objective is computed from the
  // actual run times instead of the estimates.
  void ScoreJob(std::size_t aJobIndex)
  {
    const PlannedJob& job = mJobs[aJobIndex];
    const JobClass& jobClass = mOptions.mJobClasses[job.mJobClass];
    JobClassOutcome& outcome = mOutcome.mJobClasses[job.mJobClass];
    const double meanCoreSeconds =
      jobClass.mSteps.mMean * jobClass.mTasksPerStep.mMean *
      jobClass.mMilliCores.mMean * jobClass.mRunTimeMs.mMean / 1e6;
    const double size =
      std::min(kMaxRelativeValue,
               kFixedValueShare +
                 (1 - kFixedValueShare) * job.mCoreSeconds / meanCoreSeconds);
    ++outcome.mJobs;
    outcome.mPossibleValue += size * jobClass.mValueInTime;
    ScoredJob& scored = mScoredJobs[job.mJobClass].emplace_back(
      ScoredJob{ .mCoreSeconds = job.mCoreSeconds });
    if (!mCompletedAt[aJobIndex].has_value()) {
      return;
    }
    JobRecord record{ .mId = JobId(job.mId),
                      .mQueue = jobClass.mQueue,
                      .mSpec = job.mSpec };
    for (std::size_t step = 0; step < job.mRunTimes.size(); ++step) {
      StepSpec& spec = record.mSpec.mSteps[step];
      // The longest task decides, on a worker of normal speed.
      const double longest = spec.mGang ? 1.0 : 1.0 + jobClass.mUnevenness;
      spec.mEstimate =
        std::chrono::duration_cast<Millis>(job.mRunTimes[step] * longest);
    }
    const Duration objective = ComputeJobTimes(record).mObjective;
    const Millis elapsed =
      *mCompletedAt[aJobIndex] - kWarmUpTime - job.mSubmitAt;
    if (elapsed <= objective) {
      ++outcome.mInTime;
      scored.mServed = true;
      outcome.mEarnedValue += size * jobClass.mValueInTime;
    } else if (elapsed <= kMaxUsefulObjectives * objective) {
      ++outcome.mLate;
      scored.mServed = true;
      outcome.mEarnedValue += size * jobClass.mValueWhenLate;
    }
  }

  void ComputeServedShares()
  {
    for (std::size_t jobClass = 0; jobClass < mOutcome.mJobClasses.size();
         ++jobClass) {
      std::vector<ScoredJob>& jobs = mScoredJobs[jobClass];
      std::sort(jobs.begin(),
                jobs.end(),
                [](const ScoredJob& aLeft, const ScoredJob& aRight) {
                  return aLeft.mCoreSeconds > aRight.mCoreSeconds;
                });
      const auto largest =
        jobs.begin() + static_cast<std::ptrdiff_t>((jobs.size() + 9) / 10);
      JobClassOutcome& outcome = mOutcome.mJobClasses[jobClass];
      outcome.mServedShare = ServedShare(jobs.begin(), jobs.end());
      outcome.mLargestServedShare = ServedShare(jobs.begin(), largest);
    }
  }

  const LoadTrialOptions& mOptions;
  FakeCell mCell;
  PolicyServiceQueue mPolicyService;
  std::vector<PlannedJob> mJobs;
  std::map<std::string, std::size_t> mJobIndexById;
  std::vector<std::optional<Millis>> mCompletedAt;
  std::vector<std::size_t> mUnfinishedJobs;
  // Refused jobs by the time at which they are submitted again.
  std::multimap<Millis, std::size_t> mRetries;
  // By job class.
  std::vector<std::vector<ScoredJob>> mScoredJobs;
  std::size_t mNextJob = 0;
  int mUtilizationSamples = 0;
  LoadOutcome mOutcome;
};

} // namespace

double
LoadOutcome::EarnedShare() const
{
  double possible = 0;
  double earned = 0;
  for (const JobClassOutcome& jobClass : mJobClasses) {
    possible += jobClass.mPossibleValue;
    earned += jobClass.mEarnedValue;
  }
  return possible > 0 ? earned / possible : 0;
}

LoadOutcome
RunLoadTrial(const LoadTrialOptions& aOptions)
{
  return Trial(aOptions).Run();
}

} // namespace oriolevane::jobs
