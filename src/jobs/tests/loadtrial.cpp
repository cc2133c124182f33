#include "jobs/tests/loadtrial.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>

#include "framework/stablehash.h"
#include "jobs/internal/urgency.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// The cell's workers are known and have answered by then.
constexpr Millis kSettle = 500ms;
constexpr Millis kCheckEvery = 10ms;
// Work that is late by more than this many objectives is worth nothing.
constexpr int kUsefulObjectives = 3;
// A job is worth so much whatever its size, and the rest by its work.
constexpr double kWorthOfAny = 0.3;
constexpr double kMostWorthOfMean = 4.0;
// Every third worker is slower by this factor.
constexpr double kSlowWorker = 1.3;
constexpr Millis kStopTakes = 300ms;
constexpr int kHashSteps = 10000;

struct PlannedJob
{
  std::string mId;
  std::size_t mKind = 0;
  Millis mAt{ 0 };
  JobSpec mSpec;
  // Real run time of a task of each step.
  std::vector<Millis> mRunTimes;
  double mCoreSeconds = 0;
};

// A lognormal figure with the given mean and spread, at most its limit.
double
Draw(const VaryingFigure& aFigure, std::mt19937_64& aRandom)
{
  if (aFigure.mSpread <= 0) {
    return aFigure.mMean;
  }
  const double variance = std::log(1 + aFigure.mSpread * aFigure.mSpread);
  std::lognormal_distribution<double> distribution(
    std::log(aFigure.mMean) - variance / 2, std::sqrt(variance));
  return std::min(distribution(aRandom), aFigure.mMost);
}

PlannedJob
DrawJob(const LoadKind& aKind, std::mt19937_64& aRandom)
{
  std::uniform_real_distribution<double> unit(0, 1);
  const int steps =
    std::max(1, static_cast<int>(std::lround(Draw(aKind.mSteps, aRandom))));
  const bool gang = unit(aRandom) < aKind.mGangShare;
  PlannedJob job;
  for (int step = 0; step < steps; ++step) {
    StepSpec spec;
    spec.mTaskCount =
      std::max(1, static_cast<int>(std::lround(Draw(aKind.mWidth, aRandom))));
    spec.mResources = {
      .mMilliCores =
        static_cast<std::int64_t>(Draw(aKind.mMilliCores, aRandom)),
      .mMemoryMiB = static_cast<std::int64_t>(Draw(aKind.mMemoryMiB, aRandom))
    };
    const double run = Draw(aKind.mRunMillis, aRandom);
    const double error = 1 + aKind.mEstimateError * (2 * unit(aRandom) - 1);
    spec.mEstimate = Millis(static_cast<std::int64_t>(run * error));
    spec.mGang = gang;
    spec.mCheckpointing = unit(aRandom) < aKind.mCheckpointingShare;
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

double
RateAt(const LoadTrialOptions& aOptions, std::size_t aKind, Millis aAt)
{
  double rate = aOptions.mKinds[aKind].mJobsPerSecond;
  for (const LoadBurst& burst : aOptions.mBursts) {
    if (burst.mKind == aKind && burst.mFrom <= aAt && aAt < burst.mUntil) {
      rate *= burst.mFactor;
    }
  }
  return rate;
}

std::vector<PlannedJob>
PlanJobs(const LoadTrialOptions& aOptions)
{
  std::vector<PlannedJob> jobs;
  for (std::size_t kind = 0; kind < aOptions.mKinds.size(); ++kind) {
    std::mt19937_64 random(aOptions.mSeed * 31 + kind);
    double at = 0;
    const auto end = static_cast<double>(aOptions.mTime.count());
    while (true) {
      const double rate =
        RateAt(aOptions, kind, Millis(static_cast<std::int64_t>(at)));
      at += 1000 * std::exponential_distribution<double>(rate)(random);
      if (at >= end) {
        break;
      }
      PlannedJob job = DrawJob(aOptions.mKinds[kind], random);
      job.mKind = kind;
      job.mAt = Millis(static_cast<std::int64_t>(at));
      job.mId = std::to_string(kind) + "x" + std::to_string(jobs.size());
      jobs.push_back(std::move(job));
    }
  }
  std::sort(jobs.begin(),
            jobs.end(),
            [](const PlannedJob& aLeft, const PlannedJob& aRight) {
              return aLeft.mAt < aRight.mAt;
            });
  return jobs;
}

// Hosts that query the policy service, each one query at a time, the shortest
// query first. The second half of them takes the long ones too.
class PolicyServiceQueue
{
public:
  PolicyServiceQueue(FakeCell& aCell, int aAskers)
    : mCell(aCell)
    , mBusy(aAskers, false)
  {
  }

  void Add(const AdviceQuery& aQuery)
  {
    mWaiting.emplace(aQuery.mCost, aQuery);
    Assign();
  }

private:
  static constexpr std::chrono::microseconds kLong = 200ms;

  void Assign()
  {
    for (auto entry = mWaiting.begin(); entry != mWaiting.end();) {
      const std::size_t asker = FreeAsker(entry->first >= kLong);
      if (asker == mBusy.size()) {
        ++entry;
        continue;
      }
      Ask(asker, entry->second);
      entry = mWaiting.erase(entry);
    }
  }

  std::size_t FreeAsker(bool aLong) const
  {
    const std::size_t first = aLong ? mBusy.size() / 4 : 0;
    return std::find(mBusy.begin() + static_cast<std::ptrdiff_t>(first),
                     mBusy.end(),
                     false) -
           mBusy.begin();
  }

  void Ask(std::size_t aAsker, const AdviceQuery& aQuery)
  {
    mBusy[aAsker] = true;
    mCell.After(std::chrono::ceil<Millis>(aQuery.mCost) + 2ms,
                [this, aAsker, aQuery] {
                  mBusy[aAsker] = false;
                  mCell.AnswerQuery(aQuery);
                  Assign();
                });
  }

  FakeCell& mCell;
  std::vector<bool> mBusy;
  std::multimap<std::chrono::microseconds, AdviceQuery> mWaiting;
};

class Trial
{
public:
  explicit Trial(const LoadTrialOptions& aOptions)
    : mOptions(aOptions)
    , mCell({ .mWorkers = aOptions.mWorkers,
              .mCapacity = aOptions.mCapacity,
              .mSeed = aOptions.mSeed,
              .mMostEntries = 90,
              .mScheduling = aOptions.mScheduling })
    , mPolicyService(mCell, aOptions.mAskers)
    , mJobs(PlanJobs(aOptions))
    , mDoneAt(mJobs.size())
  {
    mOutcome.mKinds.resize(aOptions.mKinds.size());
    mCell.mOnQuery = [this](const AdviceQuery& aQuery) {
      mPolicyService.Add(aQuery);
    };
    mCell.mAllowed = [this](const StepKey& aStep, const WorkerId& aWorker) {
      const double share = mOptions.mKinds[KindOf(aStep)].mAllowedShare;
      const std::uint64_t hash =
        StableHash(aWorker.mValue, StableHash(aStep.ToText()));
      return static_cast<double>(hash % kHashSteps) < share * kHashSteps;
    };
    mCell.mPlan =
      [this](const TaskKey& aTask, RunNumber aRun, const WorkerId& aWorker) {
        return PlanOf(aTask, aRun, aWorker);
      };
    for (std::size_t place = 0; place < mJobs.size(); ++place) {
      mPlaceOf[mJobs[place].mId] = place;
    }
  }

  LoadOutcome Run()
  {
    mCell.RunFor(kSettle);
    // What is in work at the end has time to end.
    const Millis end = kSettle + 2 * mOptions.mTime;
    while (mCell.Now() < end) {
      SubmitDue();
      mCell.RunFor(kCheckEvery);
      NoteDone();
      if (mCell.Now() < kSettle + mOptions.mTime) {
        NoteUse();
      }
    }
    for (std::size_t place = 0; place < mJobs.size(); ++place) {
      Judge(place);
    }
    mOutcome.mUsedShare /= mUseReadings;
    mOutcome.mViolations = mCell.mViolations;
    return std::move(mOutcome);
  }

private:
  std::size_t KindOf(const StepKey& aStep) const
  {
    return mJobs[mPlaceOf.at(aStep.mJob.mValue)].mKind;
  }

  RunPlan PlanOf(const TaskKey& aTask,
                 RunNumber aRun,
                 const WorkerId& aWorker) const
  {
    const PlannedJob& job = mJobs[mPlaceOf.at(aTask.mStep.mJob.mValue)];
    const std::size_t step = aTask.mStep.mStep;
    const bool slow = StableHash(aWorker.mValue) % 3 == 0;
    const StepSpec& spec = job.mSpec.mSteps[step];
    // A gang fails as one.
    const std::uint64_t chance = StableHash(
      spec.mGang ? aTask.mStep.ToText() : aTask.ToText(), aRun.mValue);
    const double failed = mOptions.mKinds[job.mKind].mFailedShare;
    return { .mDuration = std::chrono::duration_cast<Millis>(
               job.mRunTimes[step] * (slow ? kSlowWorker : 1.0)),
             .mFails =
               static_cast<double>(chance % kHashSteps) < failed * kHashSteps,
             .mSaves = spec.mCheckpointing,
             .mStopTakes = kStopTakes };
  }

  void SubmitDue()
  {
    while (mNext < mJobs.size() && kSettle + mJobs[mNext].mAt <= mCell.Now()) {
      const PlannedJob& job = mJobs[mNext];
      mCell.Submit(job.mId, job.mSpec, mOptions.mKinds[job.mKind].mQueue);
      mOpen.push_back(mNext++);
    }
  }

  void NoteDone()
  {
    std::erase_if(mOpen, [this](std::size_t aPlace) {
      const std::optional<JobState> state = mCell.StateOf(mJobs[aPlace].mId);
      if (!state.has_value() || !IsFinal(*state)) {
        return false;
      }
      if (*state == JobState::Completed) {
        mDoneAt[aPlace] = mCell.Now();
      }
      return true;
    });
  }

  void NoteUse()
  {
    std::int64_t used = 0;
    for (int place = 0; place < mOptions.mWorkers; ++place) {
      used += mCell.WorkerAt(place).Used().mMilliCores;
    }
    const auto all =
      static_cast<double>(mOptions.mWorkers * mOptions.mCapacity.mMilliCores);
    mOutcome.mUsedShare += static_cast<double>(used) / all;
    ++mUseReadings;
  }

  void Judge(std::size_t aPlace)
  {
    const PlannedJob& job = mJobs[aPlace];
    const LoadKind& kind = mOptions.mKinds[job.mKind];
    KindOutcome& outcome = mOutcome.mKinds[job.mKind];
    const double meanWork = kind.mSteps.mMean * kind.mWidth.mMean *
                            kind.mMilliCores.mMean * kind.mRunMillis.mMean /
                            1e6;
    const double size =
      std::min(kMostWorthOfMean,
               kWorthOfAny + (1 - kWorthOfAny) * job.mCoreSeconds / meanWork);
    ++outcome.mJobs;
    outcome.mOwed += size * kind.mWorth;
    if (!mDoneAt[aPlace].has_value()) {
      return;
    }
    JobRecord record{ .mId = JobId(job.mId),
                      .mQueue = kind.mQueue,
                      .mSpec = job.mSpec };
    for (std::size_t step = 0; step < job.mRunTimes.size(); ++step) {
      record.mSpec.mSteps[step].mEstimate = job.mRunTimes[step];
    }
    const Duration objective = TimesOf(record).mObjective;
    const Millis taken = *mDoneAt[aPlace] - kSettle - job.mAt;
    if (taken <= objective) {
      ++outcome.mInTime;
      outcome.mEarned += size * kind.mWorth;
    } else if (taken <= kUsefulObjectives * objective) {
      ++outcome.mLate;
      outcome.mEarned += size * kind.mLateWorth;
    }
  }

  const LoadTrialOptions& mOptions;
  FakeCell mCell;
  PolicyServiceQueue mPolicyService;
  std::vector<PlannedJob> mJobs;
  std::map<std::string, std::size_t> mPlaceOf;
  std::vector<std::optional<Millis>> mDoneAt;
  std::vector<std::size_t> mOpen;
  std::size_t mNext = 0;
  int mUseReadings = 0;
  LoadOutcome mOutcome;
};

} // namespace

double
LoadOutcome::Worth() const
{
  double owed = 0;
  double earned = 0;
  for (const KindOutcome& kind : mKinds) {
    owed += kind.mOwed;
    earned += kind.mEarned;
  }
  return owed > 0 ? earned / owed : 0;
}

LoadOutcome
PlayLoad(const LoadTrialOptions& aOptions)
{
  return Trial(aOptions).Run();
}

} // namespace oriolevane::jobs
