#include "placement/internal/packingscore.h"

#include <algorithm>
#include <array>

namespace oriolevane::placement {

namespace {

constexpr double kFullnessWeight = 0.5;
constexpr double kBalanceWeight = 0.5;

} // namespace

double
PackingScore(const Resources& aCapacity,
             const Resources& aFree,
             const Resources& aNeed)
{
  struct Dimension
  {
    std::int64_t mCapacity;
    std::int64_t mRemaining;
  };
  const Resources remaining = aFree - aNeed;
  const std::array<Dimension, 4> dimensions{
    Dimension{ aCapacity.mMilliCores, remaining.mMilliCores },
    Dimension{ aCapacity.mMemoryMiB, remaining.mMemoryMiB },
    Dimension{ aCapacity.mAccelerators, remaining.mAccelerators },
    Dimension{ aCapacity.mSlots, remaining.mSlots }
  };
  double sum = 0;
  double largest = 0;
  double smallest = 1;
  int counted = 0;
  for (const Dimension& dimension : dimensions) {
    if (dimension.mCapacity <= 0) {
      continue;
    }
    const double share = static_cast<double>(dimension.mRemaining) /
                         static_cast<double>(dimension.mCapacity);
    sum += share;
    largest = std::max(largest, share);
    smallest = std::min(smallest, share);
    ++counted;
  }
  if (counted == 0) {
    return 0;
  }
  return kFullnessWeight * (1 - sum / counted) +
         kBalanceWeight * (1 - (largest - smallest));
}

} // namespace oriolevane::placement
