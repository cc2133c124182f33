// A snapshot on its way to the platform, and what became of it.
#pragma once

#include <cstdint>
#include <string>

#include <absl/status/status.h>

#include "framework/types/ids.h"

namespace oriolevane::journal {

struct SnapshotId
{
  PartitionId mPartition;
  Epoch mEpoch;
  // The snapshot holds all records up to and with this one.
  std::uint64_t mSequence = 0;

  bool operator==(const SnapshotId&) const = default;
};

struct Snapshot
{
  SnapshotId mId;
  std::string mBytes;
};

// OK: the partition row points at the snapshot. Otherwise the one before is
// still in force, and its log is kept.
struct SnapshotOutcome
{
  SnapshotId mId;
  absl::Status mStatus;
};

} // namespace oriolevane::journal
