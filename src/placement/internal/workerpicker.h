// Chooses a worker for one task.
#pragma once

#include <cstdint>

#include "placement/internal/healthmonitor.h"
#include "placement/internal/reservations.h"

namespace oriolevane::placement {

// Result of a search over all workers.
struct PickResult
{
  WorkerIndex mWorker = kNoWorker;
  // False when workers that might have room were not considered.
  bool mComplete = true;
  // True when the search was complete and rejected workers for lack of capacity
  // alone.
  bool mLackedOnlyCapacity = true;
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

  // Returns the best of a bounded sample of the workers with room.
  PickResult Pick(const Attempt& aAttempt);
  // Returns the best of the workers that gained free capacity since change
  // number aSince, or kNoWorker.
  WorkerIndex PickAmongFreed(const Attempt& aAttempt, std::uint64_t aSince);
  // Returns the likely end of the attempt if it starts at aStart; for a
  // service, a time in the far future.
  TimePoint LikelyEnd(const Attempt& aAttempt, TimePoint aStart) const;

private:
  // Requirements of an attempt, computed once per search.
  struct Query
  {
    const Attempt* mAttempt = nullptr;
    AttemptRef mOwner;
    const WorkloadRecord* mWorkload = nullptr;
    // Workers are rejected when the task would leave free accelerators without
    // enough of the other resources for waiting tasks that need accelerators.
    bool mPreservesAccelerators = false;
  };

  Query QueryFor(const Attempt& aAttempt) const;
  bool HasRoom(const Query& aQuery, WorkerIndex aWorker) const;
  // Checks everything but the free capacity: workers to avoid, accelerators,
  // health and reservations.
  bool IsAllowed(const Query& aQuery, WorkerIndex aWorker) const;
  // Returns true when the task leaves enough of the other resources to use all
  // free accelerators of the worker.
  bool PreservesAccelerators(const Query& aQuery, WorkerIndex aWorker) const;
  // Returns a weighted score of packing and spreading; higher is better.
  double Score(const Query& aQuery, WorkerIndex aWorker) const;
  // Returns a score from 0 to 1 that falls with the number of tasks of the same
  // request in the worker's rack or zone.
  double SpreadScore(const Query& aQuery, const WorkerRecord& aWorker) const;

  PlacerContext& mContext;
  const HealthMonitor& mHealth;
  const Reservations& mReservations;
};

} // namespace oriolevane::placement
