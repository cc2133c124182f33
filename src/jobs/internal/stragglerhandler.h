// Stops runs that take much longer than the other runs of their step, so that
// their tasks start again on other workers.
#pragma once

#include "jobs/internal/cellstate.h"
#include "jobs/internal/runtracker.h"

namespace oriolevane::jobs {

class StragglerHandler
{
public:
  StragglerHandler(CellState& aCell, RunTracker& aRuns)
    : mCell(aCell)
    , mRuns(aRuns)
  {
  }

  // Stops the stragglers of all steps, at intervals. The dispatcher starts
  // their tasks again when the runs have ended, so that no task runs twice.
  void Check(TimePoint aNow);

private:
  void CheckStep(Job& aJob, int aStep, Step& aState, TimePoint aNow);
  void Move(const Job& aJob, Task& aTask, Run& aRun, TimePoint aNow);

  CellState& mCell;
  RunTracker& mRuns;
  TimePoint mNextCheck;
};

} // namespace oriolevane::jobs
