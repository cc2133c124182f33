// Groups steps by the workers that they could use.
#pragma once

#include <compare>
#include <string>
#include <vector>

#include "jobs/internal/worker.h"

namespace oriolevane::jobs {

// The workers of a pool with a label. Steps of the same group compete for the
// same workers.
struct WorkerGroup
{
  PoolName mPool;
  // Empty for all workers of the pool.
  std::string mLabel;

  auto operator<=>(const WorkerGroup&) const = default;

  bool Contains(const Worker& aWorker) const
  {
    const WorkerEntry& entry = aWorker.mEntry;
    const bool labelled =
      mLabel.empty() || mLabel == entry.mKind || mLabel == entry.mRack.mValue;
    return labelled && entry.mPool == mPool;
  }
};

inline WorkerGroup
GroupOf(const QueuePolicy& aQueue, const StepSpec& aSpec)
{
  return { .mPool = aQueue.mPool, .mLabel = aSpec.mRequiredLabel };
}

} // namespace oriolevane::jobs
