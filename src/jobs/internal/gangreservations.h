// Reserves capacity on workers for waiting gangs, from the time at which the
// present runs are expected to end.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "jobs/internal/cellstate.h"
#include "jobs/internal/reservation.h"
#include "jobs/internal/workergroup.h"

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
  // True when the limit of gangs of the group with a reservation is reached.
  bool IsFull(const WorkerGroup& aGroup) const;
  // Reserves capacity for a gang on workers that it may use, from the earliest
  // time at which all members fit. Unless aWithSlow, uses slow workers only
  // when the gang is then expected to end sooner, although it runs as fast as
  // its slowest member. Does nothing when the members never fit. Returns true
  // when it may use slow workers.
  bool Reserve(const WorkerGroup& aGroup,
               const StepSpec& aSpec,
               const std::vector<Worker*>& aWorkers,
               bool aWithSlow);
  // True when a task of the step that starts now takes no reserved capacity.
  bool Allows(const Worker* aWorker, const StepSpec& aSpec) const;
  // Accounts for a task that has been placed in this pass.
  void RecordPlacement(const Worker* aWorker, const StepSpec& aSpec);

private:
  using Candidates = std::vector<ReservationCandidate>;

  Candidates MakeCandidates(const StepSpec& aSpec,
                            const std::vector<Worker*>& aWorkers,
                            bool aWithSlow) const;
  std::optional<Reservation> Plan(const StepSpec& aSpec,
                                  const Candidates& aCandidates) const;
  // When a gang that starts by a reservation is expected to end.
  static TimePoint ExpectedGangEnd(const Reservation& aReservation,
                                   const StepSpec& aSpec);
  TimePoint ExpectedEnd(const Worker& aWorker, const Run& aRun) const;
  ReservationCandidate MakeCandidate(Worker& aWorker,
                                     const StepSpec& aSpec) const;

  CellState& mCell;
  ReservationTable mReservations;
  // The number of gangs with a reservation, by group.
  std::map<WorkerGroup, int> mReservedGangs;
  TimePoint mNow;
};

} // namespace oriolevane::jobs
