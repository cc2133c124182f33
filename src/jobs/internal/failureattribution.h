// Decides whether a failed run counts against its worker or against its task.
//
// It answers loads with many tasks that fail wherever they run. Counted against
// the workers, their failures would keep most of the cell from all other work.
#pragma once

#include "jobs/internal/cellstate.h"

namespace oriolevane::jobs {

// Counts how the first runs of tasks have ended lately. Tasks that have failed
// before say little, as many of them fail on every worker.
class FirstRunOutcomes
{
public:
  void Add(bool aSucceeded, TimePoint aNow);
  // True when most first runs have failed, so that the cause lies in the
  // workers.
  bool MostFail(TimePoint aNow);

private:
  struct Counts
  {
    int mSucceeded = 0;
    int mFailed = 0;
  };

  // Begins a new interval when the current one is over.
  void Advance(TimePoint aNow);

  Counts mCurrent;
  Counts mPrevious;
  TimePoint mIntervalEnd;
};

class FailureAttribution
{
public:
  explicit FailureAttribution(CellState& aCell)
    : mCell(aCell)
  {
  }

  // Counts a failed run against its worker, unless the task has just failed on
  // several workers while other work succeeds. No worker is suspected for such
  // a task then.
  void OnFailed(Worker& aWorker, Job& aJob, const Run& aRun, TimePoint aNow);
  // Notes that a run has succeeded, so that its worker works.
  void OnSucceeded(Worker& aWorker, Job& aJob, const Run& aRun, TimePoint aNow);

private:
  // Stops counting the failures of a job against workers.
  void ClearWorkers(const JobId& aJob, TimePoint aNow);

  CellState& mCell;
  FirstRunOutcomes mFirstRuns;
};

} // namespace oriolevane::jobs
