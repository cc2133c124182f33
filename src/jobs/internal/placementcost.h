// Rates the workers that have room for a task. The one with the lowest cost
// gets it.
#pragma once

#include "jobs/internal/worker.h"

namespace oriolevane::jobs {

struct PlacementCostOptions
{
  // Factor by which tasks take longer on a rack that does not hold their data.
  double mRemoteFactor = 1.0;
  // The speed of nearly all workers is known.
  bool mSpeedsKnown = false;
  // Prefers workers on which tasks take less time than on others.
  bool mPreferFast = false;
};

// The cost of placing a task of a step on a worker.
double
PlacementCost(const Worker& aWorker,
              const StepSpec& aSpec,
              const PlacementCostOptions& aOptions);

// The cost of placing a suspected task beside other jobs, or again on a worker
// that crashed under it.
double
CrashRiskCost(const Worker& aWorker, const JobId& aJob, const Task& aTask);

} // namespace oriolevane::jobs
