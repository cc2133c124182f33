// Orders the workers that have room for a task, by their free capacity, their
// rack and their speed.
#pragma once

#include "jobs/internal/worker.h"

namespace oriolevane::jobs {

class PlacementCost
{
public:
  // aRemoteFactor is the factor by which tasks take longer on a rack that does
  // not hold their data.
  explicit PlacementCost(double aRemoteFactor)
    : mRemoteFactor(aRemoteFactor)
  {
  }

  // Starts a pass. aSpeedsKnown means that the speeds of nearly all workers are
  // known, and aSpeedsDiffer that they are unequal.
  void BeginPass(bool aSpeedsKnown, bool aSpeedsDiffer)
  {
    mSpeedsKnown = aSpeedsKnown;
    mSpeedsDiffer = aSpeedsDiffer;
  }
  // The cost of starting a task of the step on the worker, when its start could
  // be delayed by aSlack. The worker with the lowest cost is used first.
  double Of(const Worker& aWorker,
            const StepSpec& aSpec,
            Duration aSlack) const;

private:
  double SpeedCostOf(const Worker& aWorker,
                     const StepSpec& aSpec,
                     Duration aSlack) const;

  double mRemoteFactor;
  bool mSpeedsKnown = false;
  bool mSpeedsDiffer = false;
};

} // namespace oriolevane::jobs
