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
            Preemptor& aPreemptor,
            Reservations& aReservations);

  // Places what can be placed, up to the limit of decisions a call. When
  // nothing has changed since the last pass, only a tick tries again what may
  // succeed by a new sample or with time.
  void Pass(bool aIsTick);
  // True when the last pass stopped at its limit.
  bool HasMore() const { return mHasMore; }

private:
  void RunLevel(std::size_t aLevel);
  void RunLane(QueueLane& aLane, std::size_t aLevel);
  void RunTeams(std::size_t aLevel);
  // The active team with the smallest dominant share that has a shape to try.
  QueueLane* NextTeam(QueueLevel& aLevel);
  // Places one of the foremost tasks of the queue, or skips it for this pass.
  void TryShape(QueueLane& aLane, ShapeQueue* aShape, std::size_t aLevel);
  bool TryTask(AttemptIndex aIndex);
  WorkerIndex FindWorker(Attempt& aAttempt);
  WorkerIndex SearchAll(Attempt& aAttempt);
  bool SpendDecision();

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  TaskQueue& mQueue;
  WorkerPicker& mPicker;
  GangPlacer& mGangs;
  Preemptor& mPreemptor;
  Reservations& mReservations;
  std::uint64_t mPass = 0;
  std::size_t mDecisions = 0;
  std::size_t mSearches = 0;
  std::size_t mStaleDropped = 0;
  std::uint64_t mSeenFreed = 0;
  std::uint64_t mSeenAdded = 0;
  bool mHasMore = false;
  // A search of the last pass left workers out.
  bool mHadIncomplete = false;
  // Needs that fitted nowhere in this pass.
  std::vector<Resources> mFailedNeeds;
};

} // namespace oriolevane::placement
