// Places gangs, all or nothing, and keeps them from starving.
#pragma once

#include <cstddef>

#include "placement/internal/attemptlifecycle.h"
#include "placement/internal/gangplan.h"
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

  // Tries the gangs of one level in order. Returns the number of placed tasks.
  std::size_t PlaceGangs(QueueLevel& aLevel, std::size_t aLevelNumber);
  // Starts the tasks of a held gang.
  void Commit(Batch& aBatch);
  // Releases a hold that was not committed.
  void ReleaseHold(Batch& aBatch);
  // Tells the coordinator that the gang is held, for the time that is left.
  void SendHeld(const Batch& aBatch);

private:
  std::size_t TryGang(Batch& aBatch);
  bool GrantAll(const std::vector<AttemptIndex>& aMembers);
  bool MayFit(const Batch& aBatch, std::size_t aCount) const;
  void Hold(Batch& aBatch);
  void ReserveFor(const Batch& aBatch, std::size_t aCount);
  std::vector<AttemptIndex> WaitingMembers(const Batch& aBatch) const;

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  TaskQueue& mQueue;
  WorkerPicker& mPicker;
  Reservations& mReservations;
  GangPlan mPlan;
};

} // namespace oriolevane::placement
