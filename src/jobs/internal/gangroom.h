// Keeps room on workers for the gangs that wait, from when what runs there is
// expected to end.
#pragma once

#include <vector>

#include "jobs/internal/cellstate.h"
#include "jobs/internal/reservation.h"

namespace oriolevane::jobs {

class GangRoom
{
public:
  explicit GangRoom(CellState& aCell)
    : mCell(aCell)
  {
  }

  // Begins a pass over the waiting steps: nothing is kept any more.
  void Begin(TimePoint aNow);
  // Room is kept for as many gangs as it can be.
  bool IsFull() const;
  // Keeps room for a gang on workers that it may use, from the earliest time at
  // which all members fit; does nothing when they never do.
  void Keep(const StepSpec& aSpec, const std::vector<Worker*>& aWorkers);
  // True when a task that starts now leaves what is kept untouched.
  bool Allows(const Worker* aWorker, const StepSpec& aSpec) const;
  // A task has been placed.
  void NotePlaced(const Worker* aWorker, const StepSpec& aSpec);

private:
  TimePoint ExpectedEnd(const Worker& aWorker, const Run& aRun) const;
  ReservationCandidate CandidateOf(Worker& aWorker,
                                   const StepSpec& aSpec) const;

  CellState& mCell;
  ReservationBook mReservations;
  int mKept = 0;
  TimePoint mNow;
};

} // namespace oriolevane::jobs
