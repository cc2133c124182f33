#include "workerspeed/relativeruntime.h"

#include <algorithm>

namespace oriolevane::workerspeed {

namespace {

// A ratio counts at most this much, and at least its inverse.
constexpr double kMaxRatio = 4.0;
constexpr std::size_t kMinSamples = 4;
// A worker whose speed changes is noticed after half as many runs. With 8
// samples, 3 stragglers in 100 runs and uneven tasks make the median unsteady.
constexpr std::size_t kMaxSamples = 16;
constexpr double kSlowFactor = 1.05;

double
Median(std::vector<double> aValues)
{
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  if (aValues.size() % 2 == 1) {
    return *middle;
  }
  return (*middle + *std::max_element(aValues.begin(), middle)) / 2;
}

} // namespace

void
RelativeRunTime::AddSample(double aRatio)
{
  const double ratio = std::clamp(aRatio, 1.0 / kMaxRatio, kMaxRatio);
  if (mLatest.size() < kMaxSamples) {
    mLatest.push_back(ratio);
  } else {
    mLatest[mNext] = ratio;
    mNext = (mNext + 1) % kMaxSamples;
  }
  if (IsKnown()) {
    mFactor = Median(mLatest);
  }
}

bool
RelativeRunTime::IsKnown() const
{
  return mLatest.size() >= kMinSamples;
}

WorkerSpeed
RelativeRunTime::Speed() const
{
  if (!IsKnown()) {
    return WorkerSpeed::Unknown;
  }
  return mFactor > kSlowFactor ? WorkerSpeed::Slow : WorkerSpeed::Fast;
}

} // namespace oriolevane::workerspeed
