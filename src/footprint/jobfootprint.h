// Estimates what an accepted job takes of the node that schedules it.
// Deterministic.
//
// A short request can ask for many tasks and steps, so the length of a request
// says nothing of its cost. Every later owner of the shard loads the same jobs.
#pragma once

#include <cstddef>
#include <cstdint>

namespace oriolevane::footprint {

// What the footprint of a job depends on.
struct JobDimensions
{
  // Tasks and steps of one occurrence.
  std::int64_t mTasks = 0;
  std::int64_t mSteps = 0;
  // Occurrences that are open at the same time.
  std::int64_t mOccurrences = 1;
  // Names of earlier steps, in all steps.
  std::int64_t mDependencies = 0;
  // Texts that the caller sent.
  std::size_t mTextBytes = 0;
};

struct JobFootprint
{
  // Estimate of the memory, in bytes. It holds while tasks run, and when they
  // have left checkpoints.
  std::int64_t mBytes = 0;
  // Steps of all open occurrences. Each placement pass looks at each of them.
  std::int64_t mOpenSteps = 0;
};

JobFootprint
EstimateFootprint(const JobDimensions& aJob);

} // namespace oriolevane::footprint
