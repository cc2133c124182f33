// Plans on which workers and at what time a gang that does not fit now could
// start.
#pragma once

#include <cstddef>
#include <vector>

#include "placement/internal/workerpicker.h"

namespace oriolevane::placement {

// Plans with the free capacity and the likely ends of granted attempts.
class GangPlanner
{
public:
  struct Result
  {
    // Empty when no plan was found.
    std::vector<ReservedPart> mParts;
    // Time at which all tasks are likely to fit.
    TimePoint mReadyAt;
  };

  GangPlanner(PlacerContext& aContext, const WorkerPicker& aPicker)
    : mContext(aContext)
    , mPicker(aPicker)
  {
  }

  // Chooses from a bounded sample of open workers without a reservation those
  // on which aCount tasks of the batch are likely to fit soonest.
  Result Plan(const Batch& aBatch, std::size_t aCount);

private:
  // A time from which one more task is likely to fit on the worker.
  struct FeasibleStart
  {
    TimePoint mAt;
    WorkerIndex mWorker = kNoWorker;
  };

  // Adds up to aMaxCount feasible starts on the worker.
  void AddFeasibleStarts(WorkerIndex aWorker,
                         const Batch& aBatch,
                         std::size_t aMaxCount,
                         std::vector<FeasibleStart>& aStarts) const;

  PlacerContext& mContext;
  const WorkerPicker& mPicker;
};

} // namespace oriolevane::placement
