// Prefers workers for tasks by their speed.
#pragma once

#include "jobs/internal/worker.h"

namespace oriolevane::jobs {

class SpeedPlacement
{
public:
  // Starts a pass. Without aSpeedsDiffer, speed makes no difference.
  void BeginPass(bool aSpeedsDiffer) { mSpeedsDiffer = aSpeedsDiffer; }
  // The cost of the worker's speed for a single task of a step with the given
  // slack; 0 for members of gangs, whose workers are chosen together.
  double Cost(const Worker& aWorker,
              const StepSpec& aSpec,
              Duration aSlack) const;

private:
  bool mSpeedsDiffer = false;
};

} // namespace oriolevane::jobs
