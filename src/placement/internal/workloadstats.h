// Statistics of one workload: run times and failure rate of its tasks.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace oriolevane::placement {

// Run times are kept in a histogram with logarithmic bins. Older samples lose
// weight: all counts are halved whenever the total reaches a limit. Durations
// below 1 ms count as 1 ms.
class WorkloadStats
{
public:
  // Adds the run time of a successful task.
  void AddRunTime(std::chrono::milliseconds aRunTime);
  // Adds the result of an ended task to the failure rate.
  void AddResult(bool aFailed);

  // Returns the upper edge of the bin that contains this quantile, or zero
  // without samples.
  std::chrono::milliseconds RunTimeQuantile(double aQuantile) const;
  // Returns true when there are enough samples to prefer them to declared run
  // times.
  bool HasRunTimeEstimate() const;
  // Returns the estimated fraction of tasks that fail through their own fault.
  // While there are few results, a prior pulls the estimate towards 3 percent.
  double FailureRate() const;

private:
  static constexpr std::size_t kBins = 56;

  std::array<float, kBins> mBins{};
  float mSamples = 0;
  double mResults = 0;
  double mFailures = 0;
};

} // namespace oriolevane::placement
