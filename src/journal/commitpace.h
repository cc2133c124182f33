// How often each node may commit, so that all nodes together stay within the
// store's write budget.
#pragma once

#include <chrono>
#include <cstdint>

#include "framework/types/timepoint.h"

namespace oriolevane::journal {

struct CommitPace
{
  std::chrono::milliseconds mMinInterval{ 100 };
  // Writes a second of all journals together, where a transaction counts as
  // one, each log row as one, and its later deletion as another.
  double mWriteBudget = 250;
  // Request partitions of the cell.
  std::uint32_t mPartitions = 16;
};

// In each interval the cell writes at most one row for each partition, which is
// deleted later, and one transaction for each node that owns a partition.
Duration
CommitInterval(const CommitPace& aPace, std::uint32_t aLiveNodes);

} // namespace oriolevane::journal
