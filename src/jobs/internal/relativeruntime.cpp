#include "jobs/internal/relativeruntime.h"

#include <algorithm>

namespace oriolevane::jobs {

namespace {

constexpr std::size_t kMinTasksToCompare = 5;
// A ratio counts at most this much, and at least its inverse.
constexpr double kMaxRatio = 4.0;
constexpr int kMinSamples = 4;
// The weight of a new sample falls to this, so that a worker whose speed
// changes is noticed.
constexpr double kMinSampleWeight = 0.1;
constexpr double kSlowFactor = 1.05;

} // namespace

void
RelativeRunTime::AddSample(double aRatio)
{
  ++mSamples;
  const double weight = std::max(1.0 / mSamples, kMinSampleWeight);
  const double ratio = std::clamp(aRatio, 1.0 / kMaxRatio, kMaxRatio);
  mMean += weight * (ratio - mMean);
}

double
RelativeRunTime::Factor() const
{
  return mSamples < kMinSamples ? 1.0 : mMean;
}

WorkerSpeed
RelativeRunTime::Speed() const
{
  if (mSamples < kMinSamples) {
    return WorkerSpeed::Unknown;
  }
  return mMean > kSlowFactor ? WorkerSpeed::Slow : WorkerSpeed::Fast;
}

std::vector<double>
RelativeTimes(const std::vector<TaskRunTime>& aTasks)
{
  using Seconds = std::chrono::duration<double>;
  std::vector<double> ratios;
  if (aTasks.size() < kMinTasksToCompare) {
    return ratios;
  }
  Seconds total{};
  for (const TaskRunTime& task : aTasks) {
    total += Seconds(task.mTime) / task.mWorkerFactor;
  }
  const auto others = static_cast<double>(aTasks.size() - 1);
  for (const TaskRunTime& task : aTasks) {
    const Seconds own(task.mTime);
    const Seconds mean = (total - own / task.mWorkerFactor) / others;
    if (mean.count() > 0) {
      ratios.push_back(own / mean);
    } else {
      ratios.push_back(1.0);
    }
  }
  return ratios;
}

} // namespace oriolevane::jobs
