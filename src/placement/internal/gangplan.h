// Plans on which workers, and when, a gang that does not fit now could start.
#pragma once

#include <cstddef>
#include <vector>

#include "placement/internal/workerpicker.h"

namespace oriolevane::placement {

class GangPlan
{
public:
  struct Result
  {
    // Empty when no plan was found.
    std::vector<ReservedPart> mParts;
    TimePoint mReadyAt;
  };

  GangPlan(PlacerContext& aContext, const WorkerPicker& aPicker)
    : mContext(aContext)
    , mPicker(aPicker)
  {
  }

  // Chooses among a bounded sample of open workers those on which aCount tasks
  // of the batch are likely to fit soonest.
  Result Make(const Batch& aBatch, std::size_t aCount);

private:
  // One more task fits on the worker from this time on.
  struct Opening
  {
    TimePoint mAt;
    WorkerIndex mWorker = kNoWorker;
  };

  void AddOpenings(WorkerIndex aWorker,
                   const Batch& aBatch,
                   std::size_t aMost,
                   std::vector<Opening>& aOpenings) const;

  PlacerContext& mContext;
  const WorkerPicker& mPicker;
};

} // namespace oriolevane::placement
