// What one row of the log holds.
#pragma once

#include <cstdint>
#include <vector>

#include "journal/types/logrecord.h"

namespace oriolevane::journal {

struct LogBatch
{
  // The last sequence that was committed before this batch, zero at the start;
  // a reader finds by it that a row is missing.
  std::uint64_t mPreviousSequence = 0;
  // In order, not empty.
  std::vector<LogRecord> mRecords;

  bool operator==(const LogBatch&) const = default;
};

} // namespace oriolevane::journal
