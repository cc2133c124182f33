// The run times of the tasks of one step, from which the speed of workers is
// learned and stragglers are recognised.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "framework/types/timepoint.h"

namespace oriolevane::workerspeed {

// How long a run took on a worker, relative to the typical run of its step.
struct SpeedSample
{
  // Names the worker, as given to StepRunTimes::AddEnded().
  std::string mWorker;
  double mRatio = 1.0;
};

// Run times are compared as they would be on a mean worker.
class StepRunTimes
{
public:
  // Adds a run that succeeded and started from scratch, on a worker whose run
  // times differ from the mean by aFactor.
  void AddEnded(std::string aWorker, Duration aTime, double aFactor);
  // The time that a task of the step typically takes on a mean worker. Nothing
  // until enough tasks have ended, since those that end first are the shorter
  // ones. aRunning has the times that tasks have been running for, as they
  // would be on a mean worker.
  std::optional<Duration> Typical(const std::vector<Duration>& aRunning) const;
  // Samples of the ended runs that have not been returned before; none until
  // the typical time is known.
  std::vector<SpeedSample> TakeSamples(const std::vector<Duration>& aRunning);

private:
  struct EndedRun
  {
    std::string mWorker;
    Duration mTime{};
    // The time that the run would have taken on a mean worker.
    Duration mMeanTime{};
  };

  std::vector<EndedRun> mEnded;
  std::size_t mSamplesTaken = 0;
};

// The time that a run on a worker with aFactor would have taken on a mean
// worker.
Duration
OnMeanWorker(Duration aTime, double aFactor);

} // namespace oriolevane::workerspeed
