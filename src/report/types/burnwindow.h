// How fast an error budget was used over one window.
#pragma once

#include <chrono>
#include <cstdint>

namespace oriolevane::report {

struct BurnWindow
{
  std::chrono::minutes mLength{ 0 };
  std::uint64_t mTotal = 0;
  std::uint64_t mBad = 0;
  // Share of bad samples over the share that the objective allows; above 1 the
  // budget would not last.
  double mBurnRate = 0;
};

} // namespace oriolevane::report
