#include "placement/internal/reservations.h"

#include <algorithm>

namespace oriolevane::placement {

void
Reservations::Add(const AttemptRef& aOwner,
                  const std::vector<ReservedPart>& aParts,
                  TimePoint aNeededAt,
                  TimePoint aExpiresAt)
{
  Reservation reservation{ .mOwner = aOwner };
  ++mLastId;
  for (const ReservedPart& part : aParts) {
    WorkerRecord& worker = mContext.mWorkers.At(part.mWorker);
    if (worker.mReservation.mReservationId != 0) {
      continue;
    }
    worker.mReservation = { .mOwner = aOwner,
                            .mReservationId = mLastId,
                            .mAmount = part.mAmount,
                            .mNeededAt = aNeededAt };
    reservation.mWorkers.push_back(part.mWorker);
  }
  mReservations.emplace(mLastId, std::move(reservation));
  mContext.mTimers.Add(aExpiresAt, TimerKind::ReservationEnd, mLastId);
}

bool
Reservations::HasFor(const AttemptRef& aOwner) const
{
  return std::any_of(
    mReservations.begin(), mReservations.end(), [&](const auto& aEntry) {
      return aEntry.second.mOwner == aOwner;
    });
}

void
Reservations::ReleaseFor(const AttemptRef& aOwner)
{
  if (mReservations.empty()) {
    return;
  }
  std::vector<std::uint32_t> ids;
  for (const auto& [id, reservation] : mReservations) {
    if (reservation.mOwner == aOwner) {
      ids.push_back(id);
    }
  }
  for (const std::uint32_t id : ids) {
    Expire(id);
  }
}

void
Reservations::Expire(std::uint32_t aId)
{
  const auto found = mReservations.find(aId);
  if (found == mReservations.end()) {
    return;
  }
  for (const WorkerIndex index : found->second.mWorkers) {
    WorkerRecord& worker = mContext.mWorkers.At(index);
    if (worker.mReservation.mReservationId == aId) {
      worker.mReservation = {};
      mContext.mFreedWorkers.Add(index);
    }
  }
  mReservations.erase(found);
}

bool
Reservations::Allows(WorkerIndex aWorker,
                     const AttemptRef& aOwner,
                     const Resources& aNeed,
                     TimePoint aLikelyEnd) const
{
  const WorkerReservation& reservation =
    mContext.mWorkers.At(aWorker).mReservation;
  if (reservation.mReservationId == 0 || reservation.mOwner == aOwner ||
      aLikelyEnd <= reservation.mNeededAt) {
    return true;
  }
  return aNeed.FitsIn(mContext.mLedger.At(aWorker).Free() -
                      reservation.mAmount);
}

} // namespace oriolevane::placement
