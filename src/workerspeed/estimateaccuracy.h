// Learns how far the run times of a queue's tasks exceed their estimates.
#pragma once

#include <vector>

#include "framework/types/timepoint.h"

namespace oriolevane::workerspeed {

class EstimateAccuracy
{
public:
  // Adds a run that would have taken aTime on a mean worker.
  void AddRun(Duration aEstimate, Duration aTime);
  // The factor by which nine of ten run times exceed their estimates at most,
  // and at least 1; 0 while there are too few runs.
  double UpperFactor() const;

private:
  // The latest ratios; the oldest one is replaced first.
  std::vector<double> mLatest;
  std::size_t mNext = 0;
};

} // namespace oriolevane::workerspeed
