// Decides how well a worker's speed suits a task, from the task's slack.
#pragma once

#include <vector>

#include "framework/types/timepoint.h"

namespace oriolevane::workerspeed {

// A task that is to be placed.
struct TaskTiming
{
  // Expected run time on a mean worker.
  Duration mExpected{};
  // How long a start on a mean worker could be delayed without missing the
  // objective; negative when it is missed already.
  Duration mSlack{};
};

// The cost of running a task on a worker, in the range 0 to 1. A worker on
// which the task is likely to end in time costs nothing, unless the task has
// ample slack: then slow workers cost less, so that fast ones stay free for
// urgent tasks. Of the other workers, the fastest ones cost least.
double
SpeedCost(const TaskTiming& aTask, double aFactor);

// True when the run times on workers with these factors differ by more than
// chance makes them differ on equally fast workers.
bool
SpeedsDiffer(std::vector<double> aFactors);

// The mean of factors; 1 for none.
double
MeanFactor(const std::vector<double>& aFactors);

} // namespace oriolevane::workerspeed
