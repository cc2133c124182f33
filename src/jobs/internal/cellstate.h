// The state that the components of a scheduler share.
#pragma once

#include "crashes/workerfailures.h"
#include "jobs/internal/fleet.h"
#include "jobs/internal/isolatedstarts.h"
#include "jobs/internal/jobtable.h"
#include "jobs/internal/ownership.h"
#include "jobs/internal/speedpreference.h"
#include "jobs/internal/teamaccounts.h"
#include "jobs/recordwritequeue.h"
#include "jobs/types/cellconfiguration.h"
#include "jobs/types/scheduleroptions.h"

namespace oriolevane::jobs {

// The jobs and workers of a shard, with the scheduler's options and hooks.
struct CellState
{
  CellState(const SchedulerOptions& aOptions, SchedulerHooks aHooks)
    : mOptions(aOptions)
    , mHooks(std::move(aHooks))
    , mJobs(mWriteQueue, aOptions.mJobLimits)
    , mFleet(mOptions, mOwnership, mWriteQueue)
    , mTeams(mOptions)
    , mIsolatedStarts(mWorkerFailures)
  {
  }

  // Notes that a worker has seen the fencing token of a later owner.
  void NoteFenced(const WorkerId& aWorker, TimePoint aNow)
  {
    mOwnership.NoteLaterOwner(aNow);
    mHooks.mOnFenced(aWorker);
    mHooks.mOnProofWanted();
  }

  SchedulerOptions mOptions;
  SchedulerHooks mHooks;
  Ownership mOwnership;
  RecordWriteQueue mWriteQueue;
  CellConfiguration mConfiguration;
  // False until the owner has read a configuration.
  bool mConfigured = false;
  JobTable mJobs;
  Fleet mFleet;
  TeamAccounts mTeams;
  SpeedPreference mSpeedPreference;
  crashes::WorkerFailures mWorkerFailures;
  IsolatedStarts mIsolatedStarts;
  // Number of hosts that can query the policy service at the same time.
  std::size_t mQueryHosts = 1;
  // Requests a placement pass, after a change that may allow tasks to start.
  bool mDispatchWanted = false;
};

} // namespace oriolevane::jobs
