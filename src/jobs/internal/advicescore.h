// Rates workers for the queries of a step to the policy service. Those with the
// highest score are asked about first.
#pragma once

#include <cstdint>

#include "jobs/internal/worker.h"

namespace oriolevane::jobs {

struct AdviceScoreOptions
{
  // The worker's position, from 0 to 1, in the fixed order in which single
  // tasks fill the workers.
  double mFillPosition = 0;
  // Decides between workers that are rated alike; differs by step.
  std::uint64_t mSeed = 0;
  // The speed of nearly all workers is known.
  bool mSpeedsKnown = false;
  // Prefers workers on which tasks take less time than on others.
  bool mPreferFast = false;
};

double
AdviceScore(const Worker& aWorker,
            const StepSpec& aSpec,
            const AdviceScoreOptions& aOptions);

// True when the worker would hold a task of the step if it were empty.
bool
HoldsTask(const Worker& aWorker, const StepSpec& aSpec);

} // namespace oriolevane::jobs
