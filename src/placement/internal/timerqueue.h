// Timers of a placer, ordered by due time.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "framework/types/timepoint.h"

namespace oriolevane::placement {

// What a timer triggers, and whether its index is that of a worker, an attempt
// or a reservation.
enum class TimerKind : std::uint8_t
{
  // For a worker: send a heartbeat and check how long it has been silent.
  Heartbeat,
  // For a worker in quarantine: begin to probe it.
  Probe,
  // For an attempt: resend its final update.
  RepeatUpdate,
  // For a waiting attempt: its latest useful start is near.
  NearDeadline,
  // For a waiting attempt: its latest useful start has passed.
  LatestStart,
  // For a waiting attempt: raise it by one urgency level.
  Aging,
  // For an attempt of a held gang: the hold expires.
  HoldExpiry,
  // For a reservation: its end has come.
  ReservationEnd
};

// A timer cannot be cancelled; its receiver checks whether it still applies.
struct Timer
{
  TimePoint mDue;
  // Orders timers that are due at the same time.
  std::uint64_t mSequence = 0;
  TimerKind mKind = TimerKind::Heartbeat;
  // Index of the attempt or worker, or number of the reservation.
  std::uint32_t mIndex = 0;
  // Generation of the attempt or worker; the timer is ignored when the slot has
  // another generation by then.
  std::uint32_t mGeneration = 0;
};

// A priority queue of timers; those due at the same time keep their order.
class TimerQueue
{
public:
  void Add(TimePoint aDue,
           TimerKind aKind,
           std::uint32_t aIndex,
           std::uint32_t aGeneration = 0)
  {
    mTimers.push({ .mDue = aDue,
                   .mSequence = ++mSequence,
                   .mKind = aKind,
                   .mIndex = aIndex,
                   .mGeneration = aGeneration });
  }

  // Removes and returns the earliest timer that is due, if any.
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
                                       : aLeft.mSequence > aRight.mSequence;
    }
  };

  std::priority_queue<Timer, std::vector<Timer>, Later> mTimers;
  std::uint64_t mSequence = 0;
};

} // namespace oriolevane::placement
