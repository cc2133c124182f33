// Times at which something of a placer falls due.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "framework/types/timepoint.h"

namespace oriolevane::placement {

enum class TimerKind : std::uint8_t
{
  // Of a worker: send a heartbeat, look at its silence.
  Heartbeat,
  // Of a worker in quarantine.
  Probe,
  // Of an attempt: repeat its final update.
  RepeatUpdate,
  // Of a waiting attempt: its latest useful start has come near, or passed.
  Pressing,
  LatestStart,
  // Of a waiting attempt: it rises by one urgency level.
  Aging,
  // Of an attempt whose batch is held.
  HoldExpiry,
  // Of a reservation.
  ReservationEnd
};

struct Timer
{
  TimePoint mDue;
  // Order of equal times.
  std::uint64_t mNumber = 0;
  TimerKind mKind = TimerKind::Heartbeat;
  std::uint32_t mIndex = 0;
  // Of the attempt; a timer of an erased attempt means nothing.
  std::uint32_t mGeneration = 0;
};

class TimerQueue
{
public:
  void Add(TimePoint aDue,
           TimerKind aKind,
           std::uint32_t aIndex,
           std::uint32_t aGeneration = 0)
  {
    mTimers.push({ .mDue = aDue,
                   .mNumber = ++mNumber,
                   .mKind = aKind,
                   .mIndex = aIndex,
                   .mGeneration = aGeneration });
  }

  // Takes the earliest timer that is due, if any.
  std::optional<Timer> PopDue(TimePoint aNow)
  {
    if (mTimers.empty() || mTimers.top().mDue > aNow) {
      return std::nullopt;
    }
    const Timer timer = mTimers.top();
    mTimers.pop();
    return timer;
  }

private:
  struct Later
  {
    bool operator()(const Timer& aLeft, const Timer& aRight) const
    {
      return aLeft.mDue != aRight.mDue ? aLeft.mDue > aRight.mDue
                                       : aLeft.mNumber > aRight.mNumber;
    }
  };

  std::priority_queue<Timer, std::vector<Timer>, Later> mTimers;
  std::uint64_t mNumber = 0;
};

} // namespace oriolevane::placement
