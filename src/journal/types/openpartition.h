// A partition as its new owner opens it for appending.
#pragma once

#include <cstdint>

#include "framework/types/ids.h"

namespace oriolevane::journal {

struct OpenPartition
{
  PartitionId mPartition;
  Epoch mEpoch;
  // Version of the partition row, as acquired or as recovery read it.
  std::uint64_t mRowVersion = 0;
  // The last sequence that recovery found.
  std::uint64_t mLastSequence = 0;
};

} // namespace oriolevane::journal
