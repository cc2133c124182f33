#include "crashes/placement.h"

namespace oriolevane::crashes {

bool
AvoidsWorker(bool aIsSuspected, const OtherJobs& aOthers)
{
  return aIsSuspected ? aOthers.mHaveRuns : aOthers.mHaveSuspectedRuns;
}

} // namespace oriolevane::crashes
