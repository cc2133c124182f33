#include "jobs/tests/loadtrial.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "framework/stablehash.h"
#include "jobs/internal/urgency.h"
#include "jobs/tests/plannedjobs.h"
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
constexpr Millis kStopTime = 300ms;
// Resolution of shares that are decided by a hash.
constexpr int kHashBuckets = 10000;

// Decides by a hash whether something belongs to a share.
bool
FallsInto(double aShare, std::uint64_t aHash)
{
  return static_cast<double>(aHash % kHashBuckets) < aShare * kHashBuckets;
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
      return FallsInto(share,
                       StableHash(aWorker.mValue, StableHash(aStep.ToText())));
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
    const std::vector<double>& factors = mOptions.mWorkerFactors;
    double factor = factors[StableHash(aWorker.mValue) % factors.size()];
    const StepSpec& spec = job.mSpec.mSteps[step];
    // All members of a gang fail together, so their hash is that of the step.
    const std::uint64_t hash = StableHash(
      spec.mGang ? aTask.mStep.ToText() : aTask.ToText(), aRun.mValue);
    const JobClass& jobClass = mOptions.mJobClasses[job.mJobClass];
    if (FallsInto(mOptions.mStragglerShare, StableHash("straggler", hash))) {
      factor *= mOptions.mStragglerFactor;
    }
    const bool hopeless =
      FallsInto(jobClass.mHopelessShare, StableHash(job.mId));
    const double share =
      static_cast<double>(StableHash(aTask.ToText()) % kHashBuckets) /
      kHashBuckets;
    const double work =
      spec.mGang ? 1.0 : 1.0 + jobClass.mUnevenness * (2 * share - 1);
    return { .mDuration = std::chrono::duration_cast<Millis>(
               job.mRunTimes[step] * work * factor),
             .mFails = hopeless || FallsInto(jobClass.mFailedShare, hash),
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
