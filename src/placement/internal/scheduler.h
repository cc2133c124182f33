// Places waiting tasks in the order of their urgency, deadlines and teams.
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

// Each urgency level is placed in three steps: tasks near their deadline,
// gangs, then the remaining tasks in fair order of the teams.
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

  // Places the waiting tasks that fit, up to the limit of decisions per call.
  // When nothing has changed since the last pass, only a tick retries tasks
  // that may succeed with a new sample of workers or because time has passed.
  void RunPass(bool aIsTick);
  // Returns true when the last pass stopped at a limit.
  bool HasMore() const { return mHasMore; }

private:
  void RunLevel(std::size_t aLevel);
  // Tries the shape queues in the order of their heads.
  void RunShapes(ShapeQueueSet& aQueues, std::size_t aLevel);
  // Tries the queues of the teams by dominant resource fairness: the team with
  // the smallest dominant share goes next.
  void RunTeams(std::size_t aLevel);
  // Returns the queues of the active team with the smallest dominant share that
  // still has a shape to try, or null.
  ShapeQueueSet* NextTeam(QueueLevel& aLevel);
  // Places one of the first tasks of the queue, or skips the queue for the rest
  // of this pass.
  void TryShape(ShapeQueueSet& aQueues, ShapeQueue* aShape, std::size_t aLevel);
  // Places the task, or starts preemption for it and returns false.
  bool TryTask(AttemptIndex aIndex);
  // Searches all workers, or only those that gained free capacity since the
  // last failed search for this attempt.
  WorkerIndex FindWorker(Attempt& aAttempt);
  // Searches all workers unless a smaller need has already failed in this pass.
  WorkerIndex SearchAll(Attempt& aAttempt);
  // Returns false, and sets mHasMore, when the pass has reached a limit.
  bool IsWithinLimits();

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  TaskQueue& mQueue;
  WorkerPicker& mPicker;
  GangPlacer& mGangs;
  Preemptor& mPreemptor;
  Reservations& mReservations;
  // Number of the current pass.
  std::uint64_t mPass = 0;
  // Counts of the current pass, compared with its limits.
  std::size_t mDecisions = 0;
  std::size_t mSearches = 0;
  std::size_t mStaleDropped = 0;
  // Change numbers of the freed workers and of the queue at the last full pass.
  std::uint64_t mSeenFreedChange = 0;
  std::uint64_t mSeenAddedCount = 0;
  bool mHasMore = false;
  // A search of the last full pass did not consider all workers that might have
  // room.
  bool mHadIncompleteSearch = false;
  // Needs that fitted on no worker in this pass, for lack of capacity alone.
  std::vector<Resources> mFailedNeeds;
};

} // namespace oriolevane::placement
