// Estimates how long tasks take on a worker compared with other workers. The
// estimates that callers declare are too inexact for this, so the run times of
// tasks of the same step, which do similar work, are compared.
//
// It answers loads of wide gangs on workers of unequal speed: a gang runs as
// fast as its slowest member.
#pragma once

#include <vector>

#include "framework/types/timepoint.h"

namespace oriolevane::jobs {

// What is known of the speed of a worker.
enum class WorkerSpeed
{
  Slow,
  Unknown,
  // At least as fast as most workers.
  Fast
};

// The run times on one worker, relative to the mean of all workers.
class RelativeRunTime
{
public:
  void AddSample(double aRatio);
  // The factor by which run times on this worker differ from the mean; 1 while
  // there are too few samples.
  double Factor() const;
  WorkerSpeed Speed() const;
  bool IsSlow() const { return Speed() == WorkerSpeed::Slow; }

private:
  int mSamples = 0;
  double mMean = 1.0;
};

// The time that one task of a step took, on a worker with mWorkerFactor.
struct TaskRunTime
{
  Duration mTime{};
  double mWorkerFactor = 1.0;
};

// Returns how long each task of a step took, relative to the time that the
// other tasks would have taken on a mean worker. All tasks of the step must be
// given: those that end first are the shorter ones. Returns nothing when they
// are too few to compare.
std::vector<double>
RelativeTimes(const std::vector<TaskRunTime>& aTasks);

} // namespace oriolevane::jobs
