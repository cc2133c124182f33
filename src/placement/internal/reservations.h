// Reserves capacity for batches that cannot start yet, each for a bounded time.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "placement/internal/placercontext.h"

namespace oriolevane::placement {

// The part of a reservation on one worker.
struct ReservedPart
{
  WorkerIndex mWorker = kNoWorker;
  Resources mAmount;
};

// A worker has at most one reservation at a time.
class Reservations
{
public:
  explicit Reservations(PlacerContext& aContext)
    : mContext(aContext)
  {
  }

  // Reserves the parts for the batch whose first member is aOwner. Other tasks
  // may use the capacity if they are likely to end before aNeededAt. The
  // reservation ends at aExpiresAt at the latest. Workers that are reserved
  // already are left out.
  void Add(const AttemptRef& aOwner,
           const std::vector<ReservedPart>& aParts,
           TimePoint aNeededAt,
           TimePoint aExpiresAt);
  // Returns true when the batch of aOwner has a reservation.
  bool HasFor(const AttemptRef& aOwner) const;
  std::size_t Size() const { return mReservations.size(); }
  // Ends all reservations for the batch of aOwner.
  void ReleaseFor(const AttemptRef& aOwner);
  // Ends a reservation if it still exists.
  void Expire(std::uint32_t aId);
  // Returns true when the reservation of the worker, if any, permits a task of
  // the batch of aOwner with this need and likely end.
  bool Allows(WorkerIndex aWorker,
              const AttemptRef& aOwner,
              const Resources& aNeed,
              TimePoint aLikelyEnd) const;

private:
  struct Reservation
  {
    AttemptRef mOwner;
    std::vector<WorkerIndex> mWorkers;
  };

  PlacerContext& mContext;
  // By id.
  std::map<std::uint32_t, Reservation> mReservations;
  std::uint32_t mLastId = 0;
};

} // namespace oriolevane::placement
