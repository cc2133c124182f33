// Learns the speed of workers from the run times of tasks.
#pragma once

#include "jobs/internal/cellstate.h"

namespace oriolevane::jobs {

class SpeedLearner
{
public:
  explicit SpeedLearner(CellState& aCell)
    : mCell(aCell)
  {
  }

  // Compares a run that has succeeded with other runs of its step. The run is
  // still in the list of its task.
  void OnRunSucceeded(const Worker& aWorker,
                      Job& aJob,
                      const Run& aRun,
                      TimePoint aNow);

private:
  CellState& mCell;
};

// How long the unfinished runs of a step that started from scratch have lasted,
// as it would be on a mean worker. aExcept is left out.
std::vector<Duration>
RunningTimes(Fleet& aFleet,
             const Step& aStep,
             const Run* aExcept,
             TimePoint aNow);

} // namespace oriolevane::jobs
