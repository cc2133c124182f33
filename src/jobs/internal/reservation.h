// Room that is kept for gangs that cannot start yet, so that smaller work does
// not take each piece that becomes free.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "jobs/internal/worker.h"

namespace oriolevane::jobs {

// What a gang is promised on one worker.
struct ReservedPlace
{
  Worker* mWorker = nullptr;
  int mTasks = 0;
};

// Where and when a gang is expected to start.
struct Reservation
{
  TimePoint mStart;
  std::vector<ReservedPlace> mPlaces;
};

// When the runs of a worker are expected to end, earliest first.
class ExpectedEnds
{
public:
  // The estimate is of the run's step.
  void Add(TimePoint aEnd, const Resources& aResources);
  void Sort();
  // What runs on after a time.
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
  // Tasks of the gang that it may hold at most.
  int mMostTasks = 0;
};

// The earliest start of so many tasks, going by the expected ends; nothing when
// the workers could not hold them even when empty.
std::optional<Reservation>
PlanReservation(const std::vector<ReservationCandidate>& aCandidates,
                const Resources& aTask,
                int aCount,
                TimePoint aNow);

// The reservations of one pass. One gang at a time reserves a worker.
class ReservationBook
{
public:
  void Clear() { mReserved.clear(); }
  bool IsReserved(const Worker* aWorker) const
  {
    return mReserved.contains(aWorker);
  }
  // aEnds are the expected ends of the runs on each worker.
  void Add(const Reservation& aReservation,
           const Resources& aTask,
           const std::vector<ReservationCandidate>& aCandidates);
  // True when a task that ends at a time leaves what is reserved untouched.
  bool Allows(const Worker* aWorker,
              const Resources& aTask,
              TimePoint aEnd) const;
  // A task that lasts beyond the reservation's start has been placed.
  void NotePlaced(const Worker* aWorker,
                  const Resources& aTask,
                  TimePoint aEnd);

private:
  struct Entry
  {
    TimePoint mStart;
    // Free at the start beyond what is reserved.
    Resources mSpare;
  };

  std::map<const Worker*, Entry> mReserved;
};

} // namespace oriolevane::jobs
