// The deadline of a message that arrives in several blocking reads.
#pragma once

#include <chrono>
#include <optional>

#include "framework/types/timepoint.h"

namespace oriolevane::gateway {

class ReadDeadline
{
public:
  explicit ReadDeadline(TimePoint aEnd)
    : mEnd(aEnd)
  {
  }

  bool HasPassed(TimePoint aNow) const { return aNow >= mEnd; }
  // The timeout of a read that starts now. It is longer than the remaining
  // time, so that the deadline has passed when the read times out; nothing once
  // the deadline has passed.
  std::optional<std::chrono::microseconds> ReadTimeout(TimePoint aNow) const
  {
    if (HasPassed(aNow)) {
      return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::microseconds>(mEnd - aNow) +
           kTimeoutMargin;
  }

private:
  static constexpr std::chrono::milliseconds kTimeoutMargin{ 2 };

  TimePoint mEnd;
};

} // namespace oriolevane::gateway
