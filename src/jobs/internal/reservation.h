// Plans and stores capacity reservations for gangs that cannot start yet.
// Without them, smaller tasks would take each piece of capacity that is freed.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "jobs/internal/worker.h"

namespace oriolevane::jobs {

// The expected end of a run that lasts until its job is cancelled.
inline constexpr TimePoint kNoExpectedEnd = TimePoint::max();

// A worker and the number of gang members it has reserved capacity for.
struct ReservedWorker
{
  Worker* mWorker = nullptr;
  int mTasks = 0;
};

// When and on which workers a gang is expected to start.
struct Reservation
{
  TimePoint mStart;
  std::vector<ReservedWorker> mWorkers;
};

// The expected end of each run on a worker, with the resources that it frees.
class ExpectedEnds
{
public:
  void Add(TimePoint aEnd, const Resources& aResources);
  // Puts the earliest end first.
  void Sort();
  // The resources of the runs that are expected to end after a time.
  Resources UsedAfter(TimePoint aTime) const;
  const std::vector<std::pair<TimePoint, Resources>>& Ends() const
  {
    return mEnds;
  }

private:
  std::vector<std::pair<TimePoint, Resources>> mEnds;
};

// A worker that a gang may use.
struct ReservationCandidate
{
  Worker* mWorker = nullptr;
  ExpectedEnds mEnds;
  // The most members of the gang that it may hold.
  int mMaxTasks = 0;
};

// The number of tasks that fit into the capacity that is not used, at most
// aLimit.
int
TasksThatFit(const Resources& aCapacity,
             const Resources& aUsed,
             const Resources& aTask,
             int aLimit);

// Plans the earliest start of aCount tasks from the expected ends of the
// present runs. Returns nothing when the workers could not hold the tasks even
// when empty.
std::optional<Reservation>
PlanReservation(const std::vector<ReservationCandidate>& aCandidates,
                const Resources& aTask,
                int aCount,
                TimePoint aNow);

// The reservations of one dispatch pass. A worker is reserved for at most one
// gang.
class ReservationTable
{
public:
  void Clear() { mReserved.clear(); }
  bool IsReserved(const Worker* aWorker) const
  {
    return mReserved.contains(aWorker);
  }
  // Adds a reservation that was planned from aCandidates, for tasks of the size
  // aTask.
  void Add(const Reservation& aReservation,
           const Resources& aTask,
           const std::vector<ReservationCandidate>& aCandidates);
  // True when a task that ends at aEnd takes no reserved capacity.
  bool Allows(const Worker* aWorker,
              const Resources& aTask,
              TimePoint aEnd) const;
  // Accounts for a placed task that is expected to end at aEnd. It takes spare
  // capacity when it outlasts the start of the reservation.
  void RecordPlacement(const Worker* aWorker,
                       const Resources& aTask,
                       TimePoint aEnd);

private:
  struct Entry
  {
    TimePoint mStart;
    // Capacity that is free at mStart and not reserved.
    Resources mSpare;
  };

  std::map<const Worker*, Entry> mReserved;
};

} // namespace oriolevane::jobs
