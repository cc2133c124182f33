// Finds the workers that may get tasks in a dispatch pass.
#pragma once

#include <vector>

#include "jobs/internal/cellstate.h"
#include "jobs/types/workertrials.h"

namespace oriolevane::jobs {

class UsableWorkers
{
public:
  explicit UsableWorkers(CellState& aCell)
    : mCell(aCell)
  {
  }

  // Finds the usable workers, and notes on each its position in the fixed order
  // in which single tasks fill them, as the share of all processors before it.
  void Update(TimePoint aNow);
  const std::vector<Worker*>& Workers() const { return mWorkers; }
  // The processors of all of them, in thousandths of a core.
  std::int64_t MilliCores() const { return mMilliCores; }
  // True when the speed of nearly all of them is known.
  bool SpeedsKnown() const { return mSpeedsKnown; }

  // The reachable workers that are on trial, usable or not.
  const WorkerTrials& Trials() const { return mTrials; }

private:
  // Counts a worker that is on trial.
  void NoteTrial(const Worker& aWorker, bool aFull, TimePoint aNow);
  void SetFillPositions();

  CellState& mCell;
  std::vector<Worker*> mWorkers;
  std::int64_t mMilliCores = 0;
  bool mSpeedsKnown = false;
  WorkerTrials mTrials;
};

} // namespace oriolevane::jobs
