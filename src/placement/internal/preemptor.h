// Makes room for urgent work by stopping preemptible work.
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

  // For a waiting attempt that came as urgent: orders less urgent tasks of one
  // worker to checkpoint and stop, and keeps their room for the attempt. Does
  // nothing while room is being made for its batch already.
  void MakeRoom(AttemptIndex aIndex);

private:
  struct Victims
  {
    WorkerIndex mWorker = kNoWorker;
    std::vector<AttemptIndex> mAttempts;
  };

  bool MayPreempt(const Attempt& aAttempt) const;
  Victims FindVictims(const Attempt& aAttempt);
  std::optional<Victims> VictimsOn(WorkerIndex aWorker,
                                   const Attempt& aAttempt) const;

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  Reservations& mReservations;
};

} // namespace oriolevane::placement
