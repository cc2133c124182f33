// The log of all starts and ends on the workers of one stand-in process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include "standins/worker/taskevent.h"

namespace oriolevane::standins {

// Bounded: the oldest events make room for new ones. Thread-safe.
class TaskHistory
{
public:
  explicit TaskHistory(std::size_t aCapacity = 400000);

  void Add(const TaskEvent& aEvent);
  // A JSON object: first (number of the first event listed), dropped, and
  // events from number aFrom on. Times in nanoseconds of CLOCK_MONOTONIC.
  std::string ToJson(std::uint64_t aFrom) const;

private:
  const std::size_t mCapacity;
  mutable std::mutex mMutex;
  std::deque<TaskEvent> mEvents;
  std::uint64_t mDropped = 0;
};

} // namespace oriolevane::standins
