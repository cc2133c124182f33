#include "placement/internal/reservations.h"

#include <algorithm>

namespace oriolevane::placement {

void
Reservations::Add(const AttemptRef& aOwner,
                  const std::vector<ReservedPart>& aParts,
                  TimePoint aUntil,
                  TimePoint aEnd)
{
  Reservation reservation{ .mOwner = aOwner };
  ++mNumber;
  for (const ReservedPart& part : aParts) {
    WorkerRecord& worker = mContext.mWorkers.At(part.mWorker);
    if (worker.mReservation.mNumber != 0) {
      continue;
    }
    worker.mReservation = { .mOwner = aOwner,
                            .mNumber = mNumber,
                            .mAmount = part.mAmount,
                            .mUntil = aUntil };
    reservation.mWorkers.push_back(part.mWorker);
  }
  mReservations.emplace(mNumber, std::move(reservation));
  mContext.mTimers.Add(aEnd, TimerKind::ReservationEnd, mNumber);
}

bool
Reservations::Has(const AttemptRef& aOwner) const
{
  return std::any_of(
    mReservations.begin(), mReservations.end(), [&](const auto& aEntry) {
      return aEntry.second.mOwner == aOwner;
    });
}

void
Reservations::DropFor(const AttemptRef& aOwner)
{
  std::vector<std::uint32_t> numbers;
  for (const auto& [number, reservation] : mReservations) {
    if (reservation.mOwner == aOwner) {
      numbers.push_back(number);
    }
  }
  for (const std::uint32_t number : numbers) {
    Expire(number);
  }
}

void
Reservations::Expire(std::uint32_t aNumber)
{
  const auto found = mReservations.find(aNumber);
  if (found == mReservations.end()) {
    return;
  }
  for (const WorkerIndex index : found->second.mWorkers) {
    WorkerRecord& worker = mContext.mWorkers.At(index);
    if (worker.mReservation.mNumber == aNumber) {
      worker.mReservation = {};
      mContext.mFreed.Add(index);
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
  if (reservation.mNumber == 0 || reservation.mOwner == aOwner ||
      aLikelyEnd <= reservation.mUntil) {
    return true;
  }
  return aNeed.FitsIn(mContext.mLedger.At(aWorker).Free() -
                      reservation.mAmount);
}

} // namespace oriolevane::placement
