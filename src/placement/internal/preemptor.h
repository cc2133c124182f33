// Preempts less urgent tasks to make room for urgent ones.
#pragma once

#include <optional>
#include <vector>

#include "placement/internal/attemptlifecycle.h"
#include "placement/internal/reservations.h"

namespace oriolevane::placement {

class Preemptor
{
public:
  Preemptor(PlacerContext& aContext,
            AttemptLifecycle& aLifecycle,
            Reservations& aReservations);

  // Orders less urgent tasks on one worker to checkpoint and stop, and reserves
  // the capacity that they free for the waiting attempt. Does nothing when the
  // attempt was not submitted as urgent, or while its batch already has a
  // reservation.
  void PreemptFor(AttemptIndex aIndex);

private:
  // Attempts to stop on one worker.
  struct Victims
  {
    WorkerIndex mWorker = kNoWorker;
    std::vector<AttemptIndex> mAttempts;
  };

  bool MayPreempt(const Attempt& aAttempt) const;
  // Finds the fewest victims in a sample of workers; mWorker is kNoWorker when
  // there are none.
  Victims FindVictims(const Attempt& aAttempt);
  // Returns nothing when preemption on this worker would not make enough room.
  std::optional<Victims> FindVictimsOn(WorkerIndex aWorker,
                                       const Attempt& aAttempt) const;

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  Reservations& mReservations;
};

} // namespace oriolevane::placement
