// Capacity kept for batches that cannot start yet, each for a bounded time.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "placement/internal/placercontext.h"

namespace oriolevane::placement {

// What a reservation keeps on one worker.
struct ReservedPart
{
  WorkerIndex mWorker = kNoWorker;
  Resources mAmount;
};

class Reservations
{
public:
  explicit Reservations(PlacerContext& aContext)
    : mContext(aContext)
  {
  }

  // Keeps the parts for the batch that aOwner belongs to, until aUntil for
  // other work to plan with and until aEnd at the latest. Workers that are
  // reserved already are left out.
  void Add(const AttemptRef& aOwner,
           const std::vector<ReservedPart>& aParts,
           TimePoint aUntil,
           TimePoint aEnd);
  bool Has(const AttemptRef& aOwner) const;
  std::size_t Size() const { return mReservations.size(); }
  void DropFor(const AttemptRef& aOwner);
  // The end of a reservation has come.
  void Expire(std::uint32_t aNumber);
  // True when a task with this need and likely end may be put on the worker
  // for the batch of aOwner.
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
  std::map<std::uint32_t, Reservation> mReservations;
  std::uint32_t mNumber = 0;
};

} // namespace oriolevane::placement
