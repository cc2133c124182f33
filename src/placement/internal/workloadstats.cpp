#include "placement/internal/workloadstats.h"

#include <algorithm>
#include <cmath>

namespace oriolevane::placement {

namespace {

constexpr double kBinsPerOctave = 2;
constexpr float kMostSamples = 512;
constexpr float kEnoughSamples = 8;
constexpr double kMostResults = 400;
// The prior: this many results with this failure rate.
constexpr double kPriorResults = 20;
constexpr double kPriorRate = 0.03;

} // namespace

void
WorkloadStats::AddRunTime(std::chrono::milliseconds aRunTime)
{
  const double millis = std::max(1.0, static_cast<double>(aRunTime.count()));
  const auto bin = static_cast<std::size_t>(std::log2(millis) * kBinsPerOctave);
  mBins[std::min(bin, kBins - 1)] += 1;
  mSamples += 1;
  if (mSamples < kMostSamples) {
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
  if (mResults >= kMostResults) {
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
  const double wanted = aQuantile * mSamples;
  double seen = 0;
  std::size_t bin = 0;
  while (bin + 1 < kBins) {
    seen += mBins[bin];
    if (seen >= wanted) {
      break;
    }
    ++bin;
  }
  const double edge = std::exp2(static_cast<double>(bin + 1) / kBinsPerOctave);
  return std::chrono::milliseconds{ static_cast<std::int64_t>(edge) };
}

bool
WorkloadStats::KnowsRunTime() const
{
  return mSamples >= kEnoughSamples;
}

double
WorkloadStats::FailureRate() const
{
  return (mFailures + kPriorResults * kPriorRate) / (mResults + kPriorResults);
}

} // namespace oriolevane::placement
