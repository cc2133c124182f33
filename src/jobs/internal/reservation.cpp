#include "jobs/internal/reservation.h"

#include <algorithm>

namespace oriolevane::jobs {

namespace {

struct ReleaseEvent
{
  TimePoint mAt;
  std::size_t mCandidate = 0;
  Resources mReleased;
};

std::vector<ReleaseEvent>
CollectReleaseEvents(const std::vector<ReservationCandidate>& aCandidates)
{
  std::vector<ReleaseEvent> events;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    for (const auto& [end, resources] : aCandidates[index].mEnds.Ends()) {
      if (end != kNoExpectedEnd) {
        events.push_back(
          { .mAt = end, .mCandidate = index, .mReleased = resources });
      }
    }
  }
  std::sort(events.begin(),
            events.end(),
            [](const ReleaseEvent& aLeft, const ReleaseEvent& aRight) {
              return aLeft.mAt < aRight.mAt;
            });
  return events;
}

} // namespace

int
TasksThatFit(const Resources& aCapacity,
             const Resources& aUsed,
             const Resources& aTask,
             int aLimit)
{
  const Resources free = aCapacity - aUsed;
  const auto fits = [aLimit](std::int64_t aFree, std::int64_t aPerTask) {
    if (aFree < 0) {
      return std::int64_t{ 0 };
    }
    return aPerTask <= 0 ? std::int64_t{ aLimit } : aFree / aPerTask;
  };
  const std::int64_t count =
    std::min({ fits(free.mMilliCores, aTask.mMilliCores),
               fits(free.mMemoryMiB, aTask.mMemoryMiB),
               fits(free.mAccelerators, aTask.mAccelerators),
               std::int64_t{ aLimit } });
  return static_cast<int>(count);
}

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
      worker.mEntry.mCapacity, worker.mUsed, aTask, candidate.mMaxTasks));
    total += tasks.back();
  }
  TimePoint start = aNow;
  for (const ReleaseEvent& event : CollectReleaseEvents(aCandidates)) {
    if (total >= aCount) {
      break;
    }
    const ReservationCandidate& candidate = aCandidates[event.mCandidate];
    used[event.mCandidate] -= event.mReleased;
    const int fitting = TasksThatFit(candidate.mWorker->mEntry.mCapacity,
                                     used[event.mCandidate],
                                     aTask,
                                     candidate.mMaxTasks);
    total += fitting - tasks[event.mCandidate];
    tasks[event.mCandidate] = fitting;
    start = std::max(start, event.mAt);
  }
  if (total < aCount) {
    return std::nullopt;
  }
  Reservation reservation{ .mStart = start, .mWorkers = {} };
  int left = aCount;
  for (std::size_t index = 0; index < aCandidates.size() && left > 0; ++index) {
    const int here = std::min(left, tasks[index]);
    if (here > 0) {
      reservation.mWorkers.push_back(
        { .mWorker = aCandidates[index].mWorker, .mTasks = here });
      left -= here;
    }
  }
  return reservation;
}

void
ReservationTable::Add(const Reservation& aReservation,
                      const Resources& aTask,
                      const std::vector<ReservationCandidate>& aCandidates)
{
  for (const ReservedWorker& reserved : aReservation.mWorkers) {
    const auto candidate =
      std::find_if(aCandidates.begin(),
                   aCandidates.end(),
                   [&reserved](const ReservationCandidate& aCandidate) {
                     return aCandidate.mWorker == reserved.mWorker;
                   });
    Resources spare = reserved.mWorker->mEntry.mCapacity -
                      candidate->mEnds.UsedAfter(aReservation.mStart);
    for (int task = 0; task < reserved.mTasks; ++task) {
      spare -= aTask;
    }
    mReserved[reserved.mWorker] = { .mStart = aReservation.mStart,
                                    .mSpare = spare };
  }
}

bool
ReservationTable::Allows(const Worker* aWorker,
                         const Resources& aTask,
                         TimePoint aEnd) const
{
  const auto found = mReserved.find(aWorker);
  return found == mReserved.end() || aEnd <= found->second.mStart ||
         aTask.FitsIn(found->second.mSpare);
}

void
ReservationTable::RecordPlacement(const Worker* aWorker,
                                  const Resources& aTask,
                                  TimePoint aEnd)
{
  const auto found = mReserved.find(aWorker);
  if (found != mReserved.end() && aEnd > found->second.mStart) {
    found->second.mSpare -= aTask;
  }
}

} // namespace oriolevane::jobs
