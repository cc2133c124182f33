// Keeps a bounded trail of the decisions on one request, which callers can
// query.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/types/requeststatus.h"

namespace oriolevane::coordination::internal {

// The kinds of decisions. Callers see the names that trail.cpp gives them.
enum class TrailEvent : std::uint8_t
{
  Accepted,
  Recovered,
  Dispatched,
  Held,
  HoldsCommitted,
  Running,
  TaskEnded,
  NotStarted,
  RetryPlanned,
  NoShard,
  GangReleased,
  ShardTakenOver,
  CancelRequested,
  DeadlinePassed,
  Finished
};

// Keeps the first and the most recent entries. Of those between it keeps only
// the number.
class Trail
{
public:
  void Add(std::chrono::milliseconds aSinceSubmission,
           TrailEvent aEvent,
           std::string aDetail);
  // Returns the entries in order of time, with one entry "omitted" in the place
  // of those that were dropped.
  std::vector<protocol::TrailEntry> Entries() const;

private:
  struct Entry
  {
    std::uint32_t mMilliseconds;
    TrailEvent mEvent;
    std::string mDetail;
  };

  std::vector<Entry> mEntries;
  std::uint32_t mOmitted = 0;
};

} // namespace oriolevane::coordination::internal
