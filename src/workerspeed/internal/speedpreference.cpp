#include "workerspeed/speedpreference.h"

#include <algorithm>
#include <cmath>

namespace oriolevane::workerspeed {

namespace {

using Seconds = std::chrono::duration<double>;

// Tasks of one step differ by some 15 percent, and so do the estimates of most
// callers.
constexpr double kRunTimeMargin = 1.2;
// A task has ample slack when it would end in time even if it took this many
// times as long as estimated.
constexpr double kAmpleSlackFactor = 3.0;
// Factors beyond these limits are not told apart.
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 4.0;
// Costs on workers that end the task in time, and on the others.
constexpr double kMaxInTimeCost = 0.4;
constexpr double kMinLateCost = 0.5;
// On equally fast workers, the 90th and the 10th percentile of the learned
// factors differ by up to a tenth.
constexpr double kMinSpread = 1.2;

// Position of a factor between the limits, on a logarithmic scale.
double
Position(double aFactor)
{
  const double factor = std::clamp(aFactor, kMinFactor, kMaxFactor);
  return std::log(factor / kMinFactor) / std::log(kMaxFactor / kMinFactor);
}

} // namespace

double
SpeedCost(const TaskTiming& aTask, double aFactor)
{
  const Seconds expected = aTask.mExpected;
  const Seconds available = expected + Seconds(aTask.mSlack);
  if (expected * aFactor * kRunTimeMargin <= available) {
    const bool ample = expected * kAmpleSlackFactor <= available;
    return ample ? kMaxInTimeCost * (1 - Position(aFactor)) : 0.0;
  }
  return kMinLateCost + (1 - kMinLateCost) * Position(aFactor);
}

bool
SpeedsDiffer(std::vector<double> aFactors)
{
  if (aFactors.empty()) {
    return false;
  }
  std::sort(aFactors.begin(), aFactors.end());
  const std::size_t tenth = aFactors.size() / 10;
  return aFactors[aFactors.size() - 1 - tenth] > aFactors[tenth] * kMinSpread;
}

double
MeanFactor(const std::vector<double>& aFactors)
{
  double sum = 0;
  for (const double factor : aFactors) {
    sum += std::log(factor);
  }
  return aFactors.empty()
           ? 1.0
           : std::exp(sum / static_cast<double>(aFactors.size()));
}

} // namespace oriolevane::workerspeed
