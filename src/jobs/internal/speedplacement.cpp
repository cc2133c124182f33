#include "jobs/internal/speedplacement.h"

#include "workerspeed/speedpreference.h"

namespace oriolevane::jobs {

namespace {

// Makes a difference of speed weigh more than one of free capacity, which costs
// up to 2.
constexpr double kSpeedCostWeight = 10.0;

} // namespace

double
SpeedPlacement::Cost(const Worker& aWorker,
                     const StepSpec& aSpec,
                     Duration aSlack) const
{
  if (!mSpeedsDiffer || aSpec.mGang) {
    return 0;
  }
  return kSpeedCostWeight *
         workerspeed::SpeedCost(
           { .mExpected = aSpec.mEstimate, .mSlack = aSlack },
           aWorker.mHealth.mTimeFactor);
}

} // namespace oriolevane::jobs
