// A cell with random jobs and random trouble, for tests.
#pragma once

#include <algorithm>
#include <cstdlib>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/tests/fakecell.h"

namespace oriolevane::jobs {

using namespace std::chrono_literals;

inline constexpr Millis kLongestStop{ 900 };
inline constexpr int kJobs = 30;
// Every so many seeds, the jobs belong to teams with quotas.
inline constexpr std::uint64_t kTeamSeedInterval = 2;
// Every so many seeds, some jobs have a task that crashes its workers.
inline constexpr std::uint64_t kCrashSeedInterval = 3;
// Every so many seeds, workers leave after a notice instead of crashing, and
// some tasks resume from checkpoints.
inline constexpr std::uint64_t kNoticeSeedInterval = 4;
// Every so many seeds, others than those with crashing tasks, the capacities of
// workers change.
inline constexpr std::uint64_t kCapacitySeedInterval = 3;
// Every so many seeds, others than those with teams, tasks run longer than a
// worker's lease.
inline constexpr std::uint64_t kLongTaskSeedInterval = 10;
inline constexpr int kLongTaskFactor = 8;

// Quotas that a few tasks of the jobs below exhaust.
inline std::vector<teams::TeamPolicy>
MakeTeams()
{
  return { { .mName = TeamId("small"),
             .mQuota = { .mMilliCores = 6000, .mMemoryMiB = 400 } },
           { .mName = TeamId("medium"), .mQuota = { .mMilliCores = 18000 } } };
}

struct RandomFaultOptions
{
  // Replaced owners go on for some seconds, and their successors do not reach
  // all workers.
  bool mTwoOwners = false;
  // Tasks run longer than a worker's lease, and workers need up to the longest
  // stop to end them. Processes of workers are replaced while they still do.
  bool mSlowRunEnds = false;
  // Most changes of the owner are hand-overs.
  bool mHandsOver = false;
};

// Submits random jobs to a cell while workers crash or become unreachable,
// calls and the store fail, and the shard changes its owner.
class RandomFaultScenario
{
public:
  explicit RandomFaultScenario(std::uint64_t aSeed,
                               RandomFaultOptions aOptions = {})
    : mRandom(aSeed)
    , mOptions(aOptions)
    // The variable also allows the late starts on restarted workers that no
    // scheduler can prevent; see FakeCellOptions and KNOWN-RED.txt.
    , mCell({ .mSeed = aSeed,
              .mScheduling = { .mQuotaExcess = 0.1 },
              .mLateStartsReachUnfencedIncarnations =
                std::getenv("ORIOLEVANE_UNFENCED_LIVES") != nullptr })
  {
    mCell.mPlan = [this](const TaskKey& aTask, RunNumber, const WorkerId&) {
      return PlanOf(aTask);
    };
    mCell.mDelivery = [this](const WorkerId&) { return RandomDelivery(); };
    mHasCrashingTasks = aSeed % kCrashSeedInterval == 0;
    // Long tasks would use up the quotas of the teams for too long.
    mHasTeams = !mOptions.mSlowRunEnds && aSeed % kTeamSeedInterval == 0;
    mChangesCapacities = aSeed % kCapacitySeedInterval == 1;
    mGivesNotice = !mHasCrashingTasks && aSeed % kNoticeSeedInterval == 2;
    mHasLongTasks = mOptions.mSlowRunEnds || aSeed % kLongTaskSeedInterval == 9;
    if (mHasTeams) {
      mCell.Configure(MakeTeams());
    }
  }

  void Run()
  {
    mCell.RunFor(200ms);
    for (int job = 0; job < kJobs; ++job) {
      SubmitJob(job);
      mCell.RunFor(Millis(mRandom() % 300));
      InjectFault();
      ChangeCapacity();
    }
    // Once all faults are over, every job must reach a final state.
    mFaultPercentage = 0;
    mCell.SetStoreUnavailable(false);
    for (std::size_t workerIndex = 0; workerIndex < 6; ++workerIndex) {
      mCell.SetWorkerUnreachable(workerIndex, false);
      if (mChangesCapacities) {
        mCell.SetWorkerCapacity(workerIndex, FakeCellOptions().mCapacity);
      }
      if (mCell.WorkerAt(workerIndex).Entry().mDraining) {
        mCell.CrashWorker(workerIndex);
      }
      if (!mCell.WorkerAt(workerIndex).IsUp()) {
        mCell.RestartWorker(workerIndex);
      }
    }
    // A task that crashes its workers keeps the quota of its team in use.
    // Workers without capacity leave more of the small team's jobs to be done.
    constexpr Millis kTimeToFinish = 40000ms;
    constexpr Millis kTimeAfterCrashes = 80000ms;
    constexpr Millis kTimeAfterChanges = 60000ms;
    constexpr Millis kTimeAfterLongTasks = 100000ms;
    const Millis time = mHasCrashingTasks    ? kTimeAfterCrashes
                        : mChangesCapacities ? kTimeAfterChanges
                                             : kTimeToFinish;
    mCell.RunFor(mHasLongTasks ? kTimeAfterLongTasks : time);
  }

  // Returns one line for each violated invariant and each job that did not end
  // as it must. Empty if there are none.
  std::string FindProblems()
  {
    std::string problems;
    for (const std::string& violation : mCell.mViolations) {
      problems += violation + "\n";
    }
    for (int job = 0; job < kJobs; ++job) {
      const auto state = mCell.StateOf(JobName(job));
      if (!state.has_value() || !IsFinal(*state)) {
        problems += JobName(job) + " has no final state\n";
      } else if (*state == JobState::Completed &&
                 mCrashingJobs.contains(JobName(job))) {
        problems += JobName(job) + " completed, though its task crashes\n";
      }
    }
    return problems + mCell.FailedWithoutCause();
  }

private:
  static std::string JobName(int aJob) { return "job" + std::to_string(aJob); }

  RunPlan PlanOf(const TaskKey& aTask)
  {
    const Millis duration(50 + mRandom() % 900);
    RunPlan plan{ .mDuration =
                    mHasLongTasks ? kLongTaskFactor * duration : duration,
                  .mFails = mFailingJobs.contains(aTask.mStep.mJob.mValue) };
    if (aTask.mIndex == 0 && mCrashingJobs.contains(aTask.mStep.mJob.mValue)) {
      plan.mCrashesWorkerAfter =
        Millis(mRandom() % (plan.mDuration.count() / 2));
    }
    plan.mSavesCheckpoint = mGivesNotice && mRandom() % 2 == 0;
    if (mOptions.mSlowRunEnds) {
      plan.mStopTime = Millis(mRandom() % kLongestStop.count());
      plan.mExpiryTime = Millis(mRandom() % kLongestStop.count());
    }
    return plan;
  }

  Delivery RandomDelivery()
  {
    if (mRandom() % 100 >= mFaultPercentage) {
      return Delivery::Normal;
    }
    switch (mRandom() % 3) {
      case 0:
        return Delivery::AnswerLost;
      case 1:
        return Delivery::Late;
      default:
        return Delivery::Dropped;
    }
  }

  // The team of a job; none for a gang that can never fit the quota.
  TeamId TeamOf(int aJob, const JobSpec& aSpec) const
  {
    const bool wideGang = std::any_of(
      aSpec.mSteps.begin(), aSpec.mSteps.end(), [](const StepSpec& aStep) {
        return aStep.mGang &&
               aStep.mResources.mMilliCores * aStep.mTaskCount > 6000;
      });
    if (!mHasTeams || aJob % 5 == 0) {
      return {};
    }
    return TeamId(wideGang ? "medium" : "small");
  }

  void SubmitJob(int aJob)
  {
    JobSpec spec;
    const int steps = 1 + static_cast<int>(mRandom() % 3);
    for (int step = 0; step < steps; ++step) {
      spec.mSteps.push_back(MakeStep(1 + static_cast<int>(mRandom() % 5),
                                     500 + static_cast<int>(mRandom() % 4000),
                                     Millis(100 + mRandom() % 500)));
      spec.mSteps.back().mGang = mRandom() % 3 == 0;
      spec.mSteps.back().mCheckpointing = mGivesNotice && mRandom() % 2 == 0;
      if (step > 0) {
        spec.mSteps.back().mAfter = { step - 1 };
      }
    }
    if (mRandom() % 10 == 0) {
      mFailingJobs.insert(JobName(aJob));
    }
    if (mHasCrashingTasks && mRandom() % 10 == 0) {
      mCrashingJobs.insert(JobName(aJob));
    }
    mCell.Submit(JobName(aJob), spec, MakeQueue(3), TeamOf(aJob, spec));
    // The acceptance must be recorded before the next fault, since a takeover
    // loses an unrecorded job.
    mCell.SetStoreUnavailable(false);
    mCell.RunFor(150ms);
    if (mRandom() % 12 == 0) {
      mCell.Cancel(JobName(aJob));
      mCell.RunFor(150ms);
    }
  }

  void InjectFault()
  {
    const std::size_t workerIndex = mRandom() % 6;
    switch (mRandom() % 10) {
      case 0:
        ReplaceOwner();
        break;
      case 1:
        if (mGivesNotice) {
          LeaveAfterNotice(workerIndex);
        } else {
          mCell.CrashWorker(workerIndex);
        }
        break;
      case 2:
        if (!mCell.WorkerAt(workerIndex).IsUp()) {
          mCell.RestartWorker(workerIndex);
        }
        break;
      case 3:
        mCell.SetWorkerUnreachable(workerIndex, true);
        break;
      case 4:
        mCell.SetWorkerUnreachable(workerIndex, false);
        break;
      case 5:
        mCell.SetStoreUnavailable(true);
        break;
      case 6:
        mFaultPercentage = mRandom() % 15;
        break;
      case 7:
      case 8:
        if (mOptions.mSlowRunEnds && mRandom() % 2 == 0) {
          ReplaceWorker(workerIndex);
        } else if (mHasLongTasks) {
          RestartAndCutOff(workerIndex);
        }
        break;
      default:
        break;
    }
  }

  // Restarts a worker while calls to it are late, and cuts it off soon after.
  void RestartAndCutOff(std::size_t aWorkerIndex)
  {
    constexpr Millis kDowntime = 600ms;
    constexpr Millis kCutAfter = 2000ms;
    constexpr Millis kReachableAfter = 11000ms;
    const std::uint64_t percentage = std::exchange(mFaultPercentage, 60);
    mCell.mLateDelay = kDowntime + Millis(mRandom() % 50);
    mCell.RunFor(20ms);
    mFaultPercentage = percentage;
    mCell.mLateDelay.reset();
    mCell.CrashWorker(aWorkerIndex);
    mCell.ScheduleAfter(kDowntime, [this, aWorkerIndex] {
      if (!mCell.WorkerAt(aWorkerIndex).IsUp()) {
        mCell.RestartWorker(aWorkerIndex);
      }
    });
    mCell.ScheduleAfter(kCutAfter, [this, aWorkerIndex] {
      mCell.SetWorkerUnreachable(aWorkerIndex, true);
    });
    mCell.ScheduleAfter(kReachableAfter, [this, aWorkerIndex] {
      mCell.SetWorkerUnreachable(aWorkerIndex, false);
    });
  }

  void ReplaceWorker(std::size_t aWorkerIndex)
  {
    if (mCell.WorkerAt(aWorkerIndex).IsUp()) {
      mCell.ReplaceWorker(aWorkerIndex);
    }
  }

  void ReplaceOwner()
  {
    if (mOptions.mHandsOver && mRandom() % 4 != 0) {
      mCell.HandOver();
      return;
    }
    if (!mOptions.mTwoOwners) {
      mCell.TakeOver(Millis(mRandom() % 2000));
      return;
    }
    mCell.TakeOver(Millis(2000 + mRandom() % 6000));
    for (int count = 0; count < 2; ++count) {
      const std::size_t workerIndex = mRandom() % 6;
      mCell.SetWorkerUnreachableForOwner(workerIndex, true);
      mCell.ScheduleAfter(Millis(mRandom() % 6000), [this, workerIndex] {
        mCell.SetWorkerUnreachableForOwner(workerIndex, false);
      });
    }
  }

  // A worker may leave sooner or later than it says.
  void LeaveAfterNotice(std::size_t aWorkerIndex)
  {
    const Millis notice(200 + mRandom() % 2500);
    const Millis leavesIn = notice / 2 + Millis(mRandom() % notice.count());
    mCell.DrainWorker(aWorkerIndex, notice);
    mCell.ScheduleAfter(leavesIn, [this, aWorkerIndex] {
      if (mCell.WorkerAt(aWorkerIndex).Entry().mDraining) {
        mCell.CrashWorker(aWorkerIndex);
      }
    });
  }

  // Sets a random worker to between nothing and one and a half times its
  // capacity at the start.
  void ChangeCapacity()
  {
    if (!mChangesCapacities || mRandom() % 2 == 0) {
      return;
    }
    const std::size_t workerIndex = mRandom() % 6;
    const auto quarters = static_cast<std::int64_t>(mRandom() % 7);
    mCell.SetWorkerCapacity(
      workerIndex,
      { .mMilliCores = 2000 * quarters, .mMemoryMiB = 2000 * quarters });
  }

  std::mt19937_64 mRandom;
  RandomFaultOptions mOptions;
  FakeCell mCell;
  bool mHasTeams = false;
  bool mHasCrashingTasks = false;
  bool mHasLongTasks = false;
  // Jobs whose first task of each step crashes its workers.
  std::set<std::string> mCrashingJobs;
  bool mChangesCapacities = false;
  bool mGivesNotice = false;
  // Jobs whose tasks always fail.
  std::set<std::string> mFailingJobs;
  // Percentage of calls to workers that fail.
  std::uint64_t mFaultPercentage = 0;
};

} // namespace oriolevane::jobs
