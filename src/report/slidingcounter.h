// Counts good and bad samples by minute over the last hours, in constant
// memory.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "framework/types/timepoint.h"

namespace oriolevane::report {

struct SampleCounts
{
  std::uint64_t mTotal = 0;
  std::uint64_t mBad = 0;
};

class SlidingCounter
{
public:
  // The longest window that can be asked for.
  static constexpr std::size_t kMinutes = 360;

  void Add(bool aBad, TimePoint aNow);
  // Counts of the last aWindow, rounded up to whole minutes.
  SampleCounts Sum(std::chrono::minutes aWindow, TimePoint aNow) const;

private:
  struct Minute
  {
    std::int64_t mNumber = -1;
    std::uint32_t mTotal = 0;
    std::uint32_t mBad = 0;
  };

  std::array<Minute, kMinutes> mMinutes{};
};

} // namespace oriolevane::report
