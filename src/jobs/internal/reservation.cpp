#include "jobs/internal/reservation.h"

#include <algorithm>

namespace oriolevane::jobs {

namespace {

// How many tasks fit beside what is used.
int
TasksThatFit(const Resources& aCapacity,
             const Resources& aUsed,
             const Resources& aTask,
             int aMost)
{
  const Resources free = aCapacity - aUsed;
  const auto fits = [aMost](std::int64_t aFree, std::int64_t aTakes) {
    if (aFree < 0) {
      return std::int64_t{ 0 };
    }
    return aTakes <= 0 ? std::int64_t{ aMost } : aFree / aTakes;
  };
  const std::int64_t count =
    std::min({ fits(free.mMilliCores, aTask.mMilliCores),
               fits(free.mMemoryMiB, aTask.mMemoryMiB),
               fits(free.mAccelerators, aTask.mAccelerators),
               std::int64_t{ aMost } });
  return static_cast<int>(count);
}

struct FreeingEvent
{
  TimePoint mAt;
  std::size_t mCandidate = 0;
  Resources mFreed;
};

std::vector<FreeingEvent>
EventsOf(const std::vector<ReservationCandidate>& aCandidates)
{
  std::vector<FreeingEvent> events;
  for (std::size_t place = 0; place < aCandidates.size(); ++place) {
    for (const auto& [end, resources] : aCandidates[place].mEnds.Ends()) {
      events.push_back(
        { .mAt = end, .mCandidate = place, .mFreed = resources });
    }
  }
  std::sort(events.begin(),
            events.end(),
            [](const FreeingEvent& aLeft, const FreeingEvent& aRight) {
              return aLeft.mAt < aRight.mAt;
            });
  return events;
}

} // namespace

void
ExpectedEnds::Add(TimePoint aEnd, const Resources& aResources)
{
  mEnds.emplace_back(aEnd, aResources);
}

void
ExpectedEnds::Sort()
{
  std::sort(
    mEnds.begin(), mEnds.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
}

Resources
ExpectedEnds::UsedAfter(TimePoint aTime) const
{
  Resources used;
  for (const auto& [end, resources] : mEnds) {
    if (end > aTime) {
      used += resources;
    }
  }
  return used;
}

std::optional<Reservation>
PlanReservation(const std::vector<ReservationCandidate>& aCandidates,
                const Resources& aTask,
                int aCount,
                TimePoint aNow)
{
  std::vector<Resources> used;
  std::vector<int> tasks;
  int total = 0;
  for (const ReservationCandidate& candidate : aCandidates) {
    const Worker& worker = *candidate.mWorker;
    used.push_back(worker.mUsed);
    tasks.push_back(TasksThatFit(
      worker.mEntry.mCapacity, worker.mUsed, aTask, candidate.mMostTasks));
    total += tasks.back();
  }
  TimePoint start = aNow;
  for (const FreeingEvent& event : EventsOf(aCandidates)) {
    if (total >= aCount) {
      break;
    }
    const ReservationCandidate& candidate = aCandidates[event.mCandidate];
    used[event.mCandidate] -= event.mFreed;
    const int now = TasksThatFit(candidate.mWorker->mEntry.mCapacity,
                                 used[event.mCandidate],
                                 aTask,
                                 candidate.mMostTasks);
    total += now - tasks[event.mCandidate];
    tasks[event.mCandidate] = now;
    start = std::max(start, event.mAt);
  }
  if (total < aCount) {
    return std::nullopt;
  }
  Reservation reservation{ .mStart = start, .mPlaces = {} };
  int left = aCount;
  for (std::size_t place = 0; place < aCandidates.size() && left > 0; ++place) {
    const int here = std::min(left, tasks[place]);
    if (here > 0) {
      reservation.mPlaces.push_back(
        { .mWorker = aCandidates[place].mWorker, .mTasks = here });
      left -= here;
    }
  }
  return reservation;
}

void
ReservationBook::Add(const Reservation& aReservation,
                     const Resources& aTask,
                     const std::vector<ReservationCandidate>& aCandidates)
{
  for (const ReservedPlace& place : aReservation.mPlaces) {
    const auto candidate =
      std::find_if(aCandidates.begin(),
                   aCandidates.end(),
                   [&place](const ReservationCandidate& aCandidate) {
                     return aCandidate.mWorker == place.mWorker;
                   });
    Resources spare = place.mWorker->mEntry.mCapacity -
                      candidate->mEnds.UsedAfter(aReservation.mStart);
    for (int task = 0; task < place.mTasks; ++task) {
      spare -= aTask;
    }
    mReserved[place.mWorker] = { .mStart = aReservation.mStart,
                                 .mSpare = spare };
  }
}

bool
ReservationBook::Allows(const Worker* aWorker,
                        const Resources& aTask,
                        TimePoint aEnd) const
{
  const auto found = mReserved.find(aWorker);
  return found == mReserved.end() || aEnd <= found->second.mStart ||
         aTask.FitsIn(found->second.mSpare);
}

void
ReservationBook::NotePlaced(const Worker* aWorker,
                            const Resources& aTask,
                            TimePoint aEnd)
{
  const auto found = mReserved.find(aWorker);
  if (found != mReserved.end() && aEnd > found->second.mStart) {
    found->second.mSpare -= aTask;
  }
}

} // namespace oriolevane::jobs
