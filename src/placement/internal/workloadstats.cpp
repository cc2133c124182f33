#include "placement/internal/workloadstats.h"

#include <algorithm>
#include <cmath>

namespace oriolevane::placement {

namespace {

constexpr double kBinsPerPowerOfTwo = 2;
// The counts are halved when this number of samples or results is reached.
constexpr float kMaxSamples = 512;
constexpr float kMinSamples = 8;
constexpr double kMaxResults = 400;
// Prior of the failure rate: this many results with this failure rate.
constexpr double kPriorResults = 20;
constexpr double kPriorFailureRate = 0.03;

} // namespace

void
WorkloadStats::AddRunTime(std::chrono::milliseconds aRunTime)
{
  const double millis = std::max(1.0, static_cast<double>(aRunTime.count()));
  const auto bin =
    static_cast<std::size_t>(std::log2(millis) * kBinsPerPowerOfTwo);
  mBins[std::min(bin, kBins - 1)] += 1;
  mSamples += 1;
  if (mSamples < kMaxSamples) {
    return;
  }
  for (float& count : mBins) {
    count /= 2;
  }
  mSamples /= 2;
}

void
WorkloadStats::AddResult(bool aFailed)
{
  mResults += 1;
  mFailures += aFailed ? 1 : 0;
  if (mResults >= kMaxResults) {
    mResults /= 2;
    mFailures /= 2;
  }
}

std::chrono::milliseconds
WorkloadStats::RunTimeQuantile(double aQuantile) const
{
  if (mSamples <= 0) {
    return std::chrono::milliseconds{ 0 };
  }
  const double target = aQuantile * mSamples;
  double cumulative = 0;
  std::size_t bin = 0;
  while (bin + 1 < kBins) {
    cumulative += mBins[bin];
    if (cumulative >= target) {
      break;
    }
    ++bin;
  }
  const double edge =
    std::exp2(static_cast<double>(bin + 1) / kBinsPerPowerOfTwo);
  return std::chrono::milliseconds{ static_cast<std::int64_t>(edge) };
}

bool
WorkloadStats::HasRunTimeEstimate() const
{
  return mSamples >= kMinSamples;
}

double
WorkloadStats::FailureRate() const
{
  return (mFailures + kPriorResults * kPriorFailureRate) /
         (mResults + kPriorResults);
}

} // namespace oriolevane::placement
