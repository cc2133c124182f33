// Reserves capacity on workers for waiting gangs, from the time at which the
// present runs are expected to end.
#pragma once

#include <vector>

#include "jobs/internal/cellstate.h"
#include "jobs/internal/reservation.h"

namespace oriolevane::jobs {

class GangReservations
{
public:
  explicit GangReservations(CellState& aCell)
    : mCell(aCell)
  {
  }

  // Begins a dispatch pass and clears the reservations of the previous one.
  void BeginPass(TimePoint aNow);
  // True when the limit of gangs with a reservation is reached.
  bool IsFull() const;
  // Reserves capacity for a gang on workers that it may use, from the earliest
  // time at which all members fit. Does nothing when they never fit.
  void Reserve(const StepSpec& aSpec, const std::vector<Worker*>& aWorkers);
  // True when a task of the step that starts now takes no reserved capacity.
  bool Allows(const Worker* aWorker, const StepSpec& aSpec) const;
  // Accounts for a task that has been placed in this pass.
  void RecordPlacement(const Worker* aWorker, const StepSpec& aSpec);

private:
  TimePoint ExpectedEnd(const Worker& aWorker, const Run& aRun) const;
  ReservationCandidate MakeCandidate(Worker& aWorker,
                                     const StepSpec& aSpec) const;

  CellState& mCell;
  ReservationTable mReservations;
  int mReservedGangs = 0;
  TimePoint mNow;
};

} // namespace oriolevane::jobs
