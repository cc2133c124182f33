#include "report/slidingcounter.h"

#include <algorithm>

namespace oriolevane::report {

namespace {

std::int64_t
MinuteOf(TimePoint aTime)
{
  return std::chrono::floor<std::chrono::minutes>(aTime.time_since_epoch())
    .count();
}

} // namespace

void
SlidingCounter::Add(bool aBad, TimePoint aNow)
{
  const std::int64_t number = MinuteOf(aNow);
  Minute& minute = mMinutes[static_cast<std::size_t>(number) % kMinutes];
  if (minute.mNumber != number) {
    minute = Minute{ .mNumber = number };
  }
  ++minute.mTotal;
  minute.mBad += aBad ? 1 : 0;
}

SampleCounts
SlidingCounter::Sum(std::chrono::minutes aWindow, TimePoint aNow) const
{
  const std::int64_t newest = MinuteOf(aNow);
  const std::int64_t length = std::min<std::int64_t>(aWindow.count(), kMinutes);
  SampleCounts counts;
  for (const Minute& minute : mMinutes) {
    if (minute.mNumber > newest - length && minute.mNumber <= newest) {
      counts.mTotal += minute.mTotal;
      counts.mBad += minute.mBad;
    }
  }
  return counts;
}

} // namespace oriolevane::report
