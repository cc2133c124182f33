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
    std::int64_t mLeft;
  };
  const Resources left = aFree - aNeed;
  const std::array<Dimension, 4> dimensions{
    Dimension{ aCapacity.mMilliCores, left.mMilliCores },
    Dimension{ aCapacity.mMemoryMiB, left.mMemoryMiB },
    Dimension{ aCapacity.mAccelerators, left.mAccelerators },
    Dimension{ aCapacity.mSlots, left.mSlots }
  };
  double sum = 0;
  double most = 0;
  double least = 1;
  int counted = 0;
  for (const Dimension& dimension : dimensions) {
    if (dimension.mCapacity <= 0) {
      continue;
    }
    const double share = static_cast<double>(dimension.mLeft) /
                         static_cast<double>(dimension.mCapacity);
    sum += share;
    most = std::max(most, share);
    least = std::min(least, share);
    ++counted;
  }
  if (counted == 0) {
    return 0;
  }
  return kFullnessWeight * (1 - sum / counted) +
         kBalanceWeight * (1 - (most - least));
}

} // namespace oriolevane::placement
