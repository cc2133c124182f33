// Estimates how much memory an accepted job takes at the node that schedules
// it. Deterministic.
//
// A short request can ask for many tasks, so the length of a request says
// nothing of its cost. Every later owner of the shard loads the same jobs.
#pragma once

#include <cstddef>
#include <cstdint>

namespace oriolevane::footprint {

// What the size of a job in memory depends on.
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

// Returns an upper estimate in bytes. It holds while tasks run, and when they
// have left checkpoints.
std::int64_t
EstimateFootprint(const JobDimensions& aJob);

} // namespace oriolevane::footprint
