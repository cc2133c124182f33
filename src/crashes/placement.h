// Decides which workers are avoided on account of tasks that are suspected of
// crashing their workers.
#pragma once

namespace oriolevane::crashes {

// The runs on a worker that belong to other jobs than the task to be placed.
struct OtherJobs
{
  bool mHaveRuns = false;
  // At least one of the runs is of a suspected task.
  bool mHaveSuspectedRuns = false;
};

// True when a task should rather start on another worker. This is a preference
// only: the task does not wait for a better worker.
bool
AvoidsWorker(bool aIsSuspected, const OtherJobs& aOthers);

} // namespace oriolevane::crashes
