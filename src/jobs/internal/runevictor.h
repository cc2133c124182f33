// Stops runs on draining workers, so that their tasks start again elsewhere.
#pragma once

#include "jobs/internal/runtracker.h"

namespace oriolevane::jobs {

class RunEvictor
{
public:
  RunEvictor(CellState& aCell, RunTracker& aRuns)
    : mCell(aCell)
    , mRuns(aRuns)
  {
  }

  // Stops the runs that have to leave their worker now.
  void Evict(TimePoint aNow);

private:
  void EvictFrom(Worker& aWorker, TimePoint aNow);
  // Stops a run, or all members of its gang.
  void Stop(Job& aJob, Run& aRun, TimePoint aNow);

  CellState& mCell;
  RunTracker& mRuns;
};

} // namespace oriolevane::jobs
