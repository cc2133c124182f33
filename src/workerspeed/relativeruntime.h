// Estimates how long tasks take on a worker compared with other workers. The
// estimates that callers declare are too inexact for this, so the run times of
// tasks of the same step, which do similar work, are compared.
//
// It answers loads of wide gangs on workers of unequal speed: a gang runs as
// fast as its slowest member.
#pragma once

#include <vector>

namespace oriolevane::workerspeed {

// What is known of the speed of a worker.
enum class WorkerSpeed
{
  Slow,
  Unknown,
  // At least as fast as most workers.
  Fast
};

// The distribution of the latest run times on one worker, relative to those of
// a mean worker.
class RelativeRunTime
{
public:
  void AddSample(double aRatio);
  // The typical factor by which run times on this worker differ from the mean;
  // 1 while there are too few samples. It is a median, so that single
  // stragglers and short slowdowns do not change it.
  double Factor() const { return mFactor; }
  WorkerSpeed Speed() const;
  bool IsSlow() const { return Speed() == WorkerSpeed::Slow; }
  bool IsKnown() const;

private:
  // The latest samples; the oldest one is replaced first.
  std::vector<double> mLatest;
  std::size_t mNext = 0;
  double mFactor = 1.0;
};

} // namespace oriolevane::workerspeed
