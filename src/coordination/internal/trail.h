// The bounded trail of decisions on one request.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/types/requeststatus.h"

namespace oriolevane::coordination::internal {

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

// Keeps the first and the newest entries; those between are counted only.
class Trail
{
public:
  void Add(std::chrono::milliseconds aSinceSubmission,
           TrailEvent aEvent,
           std::string aDetail);
  std::vector<protocol::TrailEntry> Entries() const;

private:
  struct Mark
  {
    std::uint32_t mMilliseconds;
    TrailEvent mEvent;
    std::string mDetail;
  };

  std::vector<Mark> mMarks;
  std::uint32_t mDropped = 0;
};

} // namespace oriolevane::coordination::internal
