// The durable state of a partition as its new owner finds it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "journal/types/logrecord.h"

namespace oriolevane::journal {

struct RecoveredPartition
{
  Epoch mEpoch;
  std::uint64_t mRowVersion = 0;
  // Absent when none was ever saved.
  std::optional<std::string> mSnapshot;
  // Everything up to here is in the snapshot; zero without one.
  std::uint64_t mSnapshotSequence = 0;
  // What follows the snapshot, in order of sequences, over all epochs.
  std::vector<LogRecord> mRecords;
  // Of the last record, or of the snapshot.
  std::uint64_t mLastSequence = 0;
};

} // namespace oriolevane::journal
