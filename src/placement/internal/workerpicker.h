// Chooses the worker for one task.
#pragma once

#include <cstdint>

#include "placement/internal/healthmonitor.h"
#include "placement/internal/reservations.h"

namespace oriolevane::placement {

struct PickResult
{
  WorkerIndex mWorker = kNoWorker;
  // No worker that could take the task was left out.
  bool mComplete = true;
  // Nothing but a lack of capacity stood against any worker.
  bool mCapacityOnly = true;
};

class WorkerPicker
{
public:
  WorkerPicker(PlacerContext& aContext,
               const HealthMonitor& aHealth,
               const Reservations& aReservations)
    : mContext(aContext)
    , mHealth(aHealth)
    , mReservations(aReservations)
  {
  }

  // The best of a bounded sample of the workers with room.
  PickResult Pick(const Attempt& aAttempt);
  // The best of the workers that got more room after aSince.
  WorkerIndex PickAmongFreed(const Attempt& aAttempt, std::uint64_t aSince);
  // When the attempt would likely end if it started now; the far future for a
  // service.
  TimePoint LikelyEnd(const Attempt& aAttempt, TimePoint aStart) const;

private:
  // What a search asks of each worker, worked out once.
  struct Query
  {
    const Attempt* mAttempt = nullptr;
    AttemptRef mOwner;
    TimePoint mLikelyEnd;
    const WorkloadRecord* mWorkload = nullptr;
  };

  Query QueryFor(const Attempt& aAttempt) const;
  bool HasRoom(const Query& aQuery, WorkerIndex aWorker) const;
  // Anything but capacity.
  bool IsAllowed(const Query& aQuery, WorkerIndex aWorker) const;
  double Score(const Query& aQuery, WorkerIndex aWorker) const;
  double SpreadTerm(const Query& aQuery, const WorkerRecord& aWorker) const;

  PlacerContext& mContext;
  const HealthMonitor& mHealth;
  const Reservations& mReservations;
};

} // namespace oriolevane::placement
