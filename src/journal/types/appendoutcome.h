// What became of appended records.
#pragma once

#include <cstdint>
#include <vector>

#include "framework/types/ids.h"

namespace oriolevane::journal {

enum class AppendResult
{
  // Durable.
  Committed,
  // Surely not written: the queue was full or too old, or the partition is not
  // open. The partition stays open.
  Refused,
  // The partition row has another epoch or owner; the partition is closed
  // here. mSurelyNotWritten tells whether the next owner may find the records.
  Deposed
};

struct AppendOutcome
{
  PartitionId mPartition;
  // The epoch the records were appended in.
  Epoch mEpoch;
  AppendResult mResult = AppendResult::Committed;
  bool mSurelyNotWritten = false;
  std::vector<std::uint64_t> mSequences;

  bool operator==(const AppendOutcome&) const = default;
};

} // namespace oriolevane::journal
