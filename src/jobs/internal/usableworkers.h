// Finds the workers that may get tasks in a dispatch pass.
#pragma once

#include <vector>

#include "jobs/internal/cellstate.h"
#include "jobs/types/entrywaits.h"
#include "jobs/types/workertrials.h"

namespace oriolevane::jobs {

class UsableWorkers
{
public:
  explicit UsableWorkers(CellState& aCell)
    : mCell(aCell)
  {
  }

  // Finds the usable workers.
  void Update(TimePoint aNow);
  // In the fixed order in which single tasks fill them.
  const std::vector<Worker*>& Workers() const { return mWorkers; }
  // The processors of each pool's workers.
  const PoolMilliCores& Cores() const { return mCores; }
  // True when the speed of nearly all of them is known.
  bool SpeedsKnown() const { return mSpeedsKnown; }

  // The reachable workers that are on trial, usable or not.
  const WorkerTrials& Trials() const { return mTrials; }
  // The workers whose present entry has not been read.
  const EntryWaits& Waits() const { return mEntryWaits; }

private:
  // Counts a worker whose entry is of an earlier process.
  void NoteEntryWait(const Worker& aWorker, TimePoint aNow);
  // Counts a worker that is on trial.
  void NoteTrial(const Worker& aWorker, bool aFull, TimePoint aNow);

  CellState& mCell;
  std::vector<Worker*> mWorkers;
  PoolMilliCores mCores;
  bool mSpeedsKnown = false;
  WorkerTrials mTrials;
  EntryWaits mEntryWaits;
};

} // namespace oriolevane::jobs
