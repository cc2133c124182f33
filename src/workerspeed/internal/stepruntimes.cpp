#include "workerspeed/stepruntimes.h"

#include <algorithm>
#include <utility>

namespace oriolevane::workerspeed {

namespace {

// With fewer tasks, one uneven task decides what is typical.
constexpr std::size_t kMinTasksToCompare = 3;

} // namespace

void
StepRunTimes::AddEnded(std::string aWorker, Duration aTime, double aFactor)
{
  mEnded.push_back({ .mWorker = std::move(aWorker),
                     .mTime = aTime,
                     .mMeanTime = OnMeanWorker(aTime, aFactor) });
}

std::optional<Duration>
StepRunTimes::Typical(const std::vector<Duration>& aRunning) const
{
  if (mEnded.empty()) {
    return std::nullopt;
  }
  std::vector<Duration> times;
  times.reserve(mEnded.size());
  for (const EndedRun& run : mEnded) {
    times.push_back(run.mMeanTime);
  }
  std::sort(times.begin(), times.end());
  // Runs that have lasted for longer than all ended ones are known to be above
  // the median. Nothing is known of the other running ones.
  const auto longer = std::count_if(
    aRunning.begin(), aRunning.end(), [&times](Duration aElapsed) {
      return aElapsed >= times.back();
    });
  const std::size_t count = times.size() + static_cast<std::size_t>(longer);
  const std::size_t middle = count / 2;
  if (count < kMinTasksToCompare || middle >= times.size()) {
    return std::nullopt;
  }
  const Duration typical =
    count % 2 == 1 ? times[middle] : (times[middle - 1] + times[middle]) / 2;
  return typical > Duration::zero() ? std::optional(typical) : std::nullopt;
}

std::vector<SpeedSample>
StepRunTimes::TakeSamples(const std::vector<Duration>& aRunning)
{
  std::vector<SpeedSample> samples;
  const std::optional<Duration> typical = Typical(aRunning);
  if (!typical.has_value()) {
    return samples;
  }
  using Seconds = std::chrono::duration<double>;
  for (; mSamplesTaken < mEnded.size(); ++mSamplesTaken) {
    const EndedRun& run = mEnded[mSamplesTaken];
    samples.push_back({ .mWorker = run.mWorker,
                        .mRatio = Seconds(run.mTime) / Seconds(*typical) });
  }
  return samples;
}

Duration
OnMeanWorker(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime / aFactor);
}

} // namespace oriolevane::workerspeed
