// Packs the head of a partition's queue into log rows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "journal/types/queuedrecord.h"

namespace oriolevane::journal {

struct LogRow
{
  std::string mKey;
  std::string mValue;
};

// The first mRecords of the queue as rows.
struct PackedLog
{
  std::size_t mRecords = 0;
  std::size_t mBytes = 0;
  std::vector<LogRow> mRows;
};

struct PackLimits
{
  std::size_t mMaxRowBytes = 0;
  // Of all rows together.
  std::size_t mMaxBytes = 0;
};

// Takes as many records, in order, as the limits allow; the rows are linked to
// each other and to aPreviousSequence.
PackedLog
PackLog(PartitionId aPartition,
        Epoch aEpoch,
        std::uint64_t aPreviousSequence,
        const std::deque<QueuedRecord>& aQueue,
        const PackLimits& aLimits);

} // namespace oriolevane::journal
