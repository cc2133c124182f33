// Reads the durable state of a partition: the snapshot that its row points at,
// and the log of all epochs since.
#pragma once

#include <cstddef>

#include <absl/status/statusor.h>

#include "framework/types/ids.h"
#include "journal/types/recoveredpartition.h"
#include "store/platformhooks.h"

namespace oriolevane::journal {

struct RecoveryLimits
{
  // Log rows read by one scan.
  std::size_t mPageRows = 200;
  // Log bytes in all; more is an error, as snapshots should have cut it.
  std::size_t mMaxLogBytes = 256UL * 1024 * 1024;
};

// To be called after the partition row was acquired: that fences all earlier
// owners, so that no log row of theirs can appear any more. kNotFound without a
// partition row; kDataLoss, with the key and reason, for a torn row, a missing
// row or a missing snapshot.
absl::StatusOr<RecoveredPartition>
RecoverPartition(const store::TableHooks& aTable,
                 const store::ObjectHooks& aObjects,
                 PartitionId aPartition,
                 const RecoveryLimits& aLimits = {});

} // namespace oriolevane::journal
