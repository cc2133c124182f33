// Places gangs, whose tasks start together or not at all, and reserves capacity
// so that they don't starve.
#pragma once

#include <cstddef>

#include "placement/internal/attemptlifecycle.h"
#include "placement/internal/gangplanner.h"
#include "placement/internal/taskqueue.h"
#include "placement/internal/workerpicker.h"

namespace oriolevane::placement {

class GangPlacer
{
public:
  GangPlacer(PlacerContext& aContext,
             AttemptLifecycle& aLifecycle,
             TaskQueue& aQueue,
             WorkerPicker& aPicker,
             Reservations& aReservations);

  // Tries to place the gangs of one urgency level in order. Returns the number
  // of placed tasks.
  std::size_t PlaceGangs(QueueLevel& aLevel, std::size_t aLevelNumber);
  // Starts the tasks of a held gang.
  void Commit(Batch& aBatch);
  // Ends the tasks of a held gang that was not committed.
  void ReleaseHold(Batch& aBatch);
  // Tells the coordinator which tasks of the gang hold capacity and for how
  // much longer.
  void SendHeld(const Batch& aBatch);

private:
  // Places the gang if it fits, and otherwise may reserve capacity for it.
  // Returns the number of placed tasks.
  std::size_t TryGang(Batch& aBatch);
  // Grants resources to all members, or to none and returns false.
  bool GrantAll(const std::vector<AttemptIndex>& aMembers);
  // Returns false when the free capacity of all open workers together is too
  // small.
  bool MayFit(const Batch& aBatch, std::size_t aCount) const;
  // Keeps the granted capacity until a commit or the end of the hold.
  void Hold(Batch& aBatch);
  // Reserves capacity for a gang that does not fit yet, if a plan is found.
  void ReserveFor(const Batch& aBatch, std::size_t aCount);
  std::vector<AttemptIndex> WaitingMembers(const Batch& aBatch) const;

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  TaskQueue& mQueue;
  WorkerPicker& mPicker;
  Reservations& mReservations;
  GangPlanner mPlanner;
};

} // namespace oriolevane::placement
