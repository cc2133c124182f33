// What the parts of a scheduler share.
#pragma once

#include "jobs/internal/fleet.h"
#include "jobs/internal/jobtable.h"
#include "jobs/recordlog.h"
#include "jobs/types/cellconfiguration.h"
#include "jobs/types/scheduleroptions.h"

namespace oriolevane::jobs {

struct CellState
{
  CellState(const SchedulerOptions& aOptions, SchedulerHooks aHooks)
    : mOptions(aOptions)
    , mHooks(std::move(aHooks))
    , mJobs(mLog)
    , mFleet(mOptions, mLog)
  {
  }

  SchedulerOptions mOptions;
  SchedulerHooks mHooks;
  RecordLog mLog;
  CellConfiguration mConfiguration;
  JobTable mJobs;
  Fleet mFleet;
  // Something has changed that may let tasks start.
  bool mDispatchWanted = false;
};

} // namespace oriolevane::jobs
