// Keys and bytes of log rows.
//
// Key: log/<partition>/<epoch>/<first sequence>, numbers padded with zeros, so
// that key order is the order of epochs and sequences. Value: a mark of the
// format, the previous sequence, the records with their lengths, and an XXH64
// of all that, little-endian.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "framework/types/ids.h"
#include "journal/types/logbatch.h"

namespace oriolevane::journal {

struct LogRowKey
{
  PartitionId mPartition;
  Epoch mEpoch;
  std::uint64_t mFirstSequence = 0;

  bool operator==(const LogRowKey&) const = default;
};

// Start of the keys of all log rows of a partition.
std::string
LogPrefix(PartitionId aPartition);
// Less than all keys of the epoch and greater than those of lower epochs.
std::string
LogEpochStart(PartitionId aPartition, Epoch aEpoch);
std::string
EncodeLogRowKey(const LogRowKey& aKey);
// kDataLoss for what is not a key of a log row.
absl::StatusOr<LogRowKey>
ParseLogRowKey(std::string_view aKey);

// Bytes that one more record adds to a value, and bytes of an empty value.
std::size_t
EncodedRecordBytes(const LogRecord& aRecord);
constexpr std::size_t kEncodedBatchBytes = 24;

std::string
EncodeLogBatch(const LogBatch& aBatch);
// kDataLoss, with the reason, for torn or foreign bytes and for sequences that
// do not rise.
absl::StatusOr<LogBatch>
ParseLogBatch(std::string_view aBytes);

std::string
SnapshotObjectName(PartitionId aPartition,
                   Epoch aEpoch,
                   std::uint64_t aSequence);

} // namespace oriolevane::journal
