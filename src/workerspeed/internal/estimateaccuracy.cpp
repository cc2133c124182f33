#include "workerspeed/estimateaccuracy.h"

#include <algorithm>

namespace oriolevane::workerspeed {

namespace {

constexpr std::size_t kMinRuns = 20;
constexpr std::size_t kMaxRuns = 60;

} // namespace

void
EstimateAccuracy::AddRun(Duration aEstimate, Duration aTime)
{
  if (aEstimate <= Duration::zero()) {
    return;
  }
  using Seconds = std::chrono::duration<double>;
  const double ratio = Seconds(aTime) / Seconds(aEstimate);
  if (mLatest.size() < kMaxRuns) {
    mLatest.push_back(ratio);
    return;
  }
  mLatest[mNext] = ratio;
  mNext = (mNext + 1) % kMaxRuns;
}

double
EstimateAccuracy::UpperFactor() const
{
  if (mLatest.size() < kMinRuns) {
    return 0.0;
  }
  std::vector<double> ratios = mLatest;
  const auto ninth =
    ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() * 9 / 10);
  std::nth_element(ratios.begin(), ninth, ratios.end());
  return std::max(*ninth, 1.0);
}

} // namespace oriolevane::workerspeed
