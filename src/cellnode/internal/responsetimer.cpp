#include "cellnode/responsetimer.h"

#include <algorithm>

namespace oriolevane::cellnode {

namespace {

// Weights of RFC 6298: an eighth and a quarter.
constexpr int kSmoothing = 8;
constexpr int kDeviationSmoothing = 4;
constexpr int kDeviations = 4;
// Beyond this many doublings only the longest timeout is used.
constexpr int kMostDoublings = 10;

} // namespace

void
ResponseTimer::OnAnswer(Duration aRoundTrip)
{
  mNewest = aRoundTrip;
  if (!mSmoothed.has_value()) {
    mSmoothed = aRoundTrip;
    mDeviation = aRoundTrip / 2;
    return;
  }
  const Duration error = aRoundTrip - *mSmoothed;
  mDeviation += (std::chrono::abs(error) - mDeviation) / kDeviationSmoothing;
  *mSmoothed += error / kSmoothing;
}

Duration
ResponseTimer::Timeout(int aAttempt) const
{
  const Duration base =
    mSmoothed.has_value()
      ? std::max(*mSmoothed + kDeviations * mDeviation, mOptions.mShortest)
      : mOptions.mFirst;
  const int doublings = std::clamp(aAttempt - 1, 0, kMostDoublings);
  return std::min(base * (1 << doublings), std::max(mOptions.mLongest, base));
}

Duration
ResponseTimer::Expected() const
{
  return std::max(mSmoothed.value_or(Duration::zero()), mNewest);
}

} // namespace oriolevane::cellnode
