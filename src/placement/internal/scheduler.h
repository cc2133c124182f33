// Takes waiting tasks in order and places them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "placement/internal/attemptlifecycle.h"
#include "placement/internal/gangplacer.h"
#include "placement/internal/preemptor.h"
#include "placement/internal/taskqueue.h"
#include "placement/internal/workerpicker.h"

namespace oriolevane::placement {

class Scheduler
{
public:
  Scheduler(PlacerContext& aContext,
            AttemptLifecycle& aLifecycle,
            TaskQueue& aQueue,
            WorkerPicker& aPicker,
            GangPlacer& aGangs,
            Preemptor& aPreemptor);

  // Places what can be placed, up to the limit of decisions a call.
  void Pass();
  // True when the last pass stopped at its limit.
  bool HasMore() const { return mHasMore; }

private:
  enum class Trial
  {
    Placed,
    Failed,
    // The head was not waiting any more.
    Stale
  };

  void RunLevel(std::size_t aLevel);
  void RunLane(QueueLane& aLane, std::size_t aLevel);
  void RunTeams(std::size_t aLevel);
  // The active team with the smallest dominant share that has a shape to try.
  QueueLane* NextTeam(QueueLevel& aLevel);
  Trial TryHead(QueueLane& aLane, ShapeQueue* aShape, std::size_t aLevel);
  WorkerIndex FindWorker(ShapeQueue& aShape, const Attempt& aAttempt);
  bool SpendDecision();

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  TaskQueue& mQueue;
  WorkerPicker& mPicker;
  GangPlacer& mGangs;
  Preemptor& mPreemptor;
  std::uint64_t mPass = 0;
  std::size_t mDecisions = 0;
  std::size_t mStaleDropped = 0;
  bool mHasMore = false;
  // Needs that fitted nowhere in this pass.
  std::vector<Resources> mFailedNeeds;
};

} // namespace oriolevane::placement
