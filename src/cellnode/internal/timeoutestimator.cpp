#include "cellnode/timeoutestimator.h"

#include <algorithm>

namespace oriolevane::cellnode {

namespace {

// The gains of RFC 6298: 1/8 for the round trip and 1/4 for its deviation.
constexpr int kSmoothingDivisor = 8;
constexpr int kDeviationSmoothingDivisor = 4;
constexpr int kDeviationMultiplier = 4;
// Limits the shift; with this many doublings the longest timeout applies
// anyway.
constexpr int kMaxDoublings = 10;

} // namespace

void
TimeoutEstimator::OnAnswer(Duration aRoundTrip)
{
  mNewest = aRoundTrip;
  if (!mSmoothed.has_value()) {
    mSmoothed = aRoundTrip;
    mDeviation = aRoundTrip / 2;
    return;
  }
  const Duration error = aRoundTrip - *mSmoothed;
  mDeviation +=
    (std::chrono::abs(error) - mDeviation) / kDeviationSmoothingDivisor;
  *mSmoothed += error / kSmoothingDivisor;
}

Duration
TimeoutEstimator::Timeout(int aAttempt) const
{
  const Duration base =
    mSmoothed.has_value()
      ? std::max(*mSmoothed + kDeviationMultiplier * mDeviation, mOptions.mMin)
      : mOptions.mInitial;
  const int doublings = std::clamp(aAttempt - 1, 0, kMaxDoublings);
  return std::min(base * (1 << doublings), std::max(mOptions.mMax, base));
}

Duration
TimeoutEstimator::ExpectedRoundTrip() const
{
  return std::max(mSmoothed.value_or(Duration::zero()), mNewest);
}

} // namespace oriolevane::cellnode
