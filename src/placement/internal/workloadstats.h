// What was learned of one workload: how long its tasks run and how often they
// fail.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace oriolevane::placement {

// Run times are kept as a histogram with logarithmic bins whose old entries
// decay. Durations below 1 ms count as 1 ms.
class WorkloadStats
{
public:
  void AddRunTime(std::chrono::milliseconds aRunTime);
  void AddResult(bool aFailed);

  // Upper edge of the bin that holds this quantile; zero without samples.
  std::chrono::milliseconds RunTimeQuantile(double aQuantile) const;
  // True once there are enough samples to prefer them to declarations.
  bool KnowsRunTime() const;
  // Estimated share of tasks that fail by their own fault; drawn towards a few
  // per cent while results are scarce.
  double FailureRate() const;

private:
  static constexpr std::size_t kBins = 56;

  std::array<float, kBins> mBins{};
  float mSamples = 0;
  double mResults = 0;
  double mFailures = 0;
};

} // namespace oriolevane::placement
