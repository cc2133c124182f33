#include "journal/recovery.h"

#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "journal/logcodec.h"
#include "membership/rowcodec.h"

namespace oriolevane::journal {

namespace {

absl::Status
At(const std::string& aKey, const absl::Status& aStatus)
{
  return { aStatus.code(),
           fmt::format("{}: {}", aKey, std::string(aStatus.message())) };
}

absl::Status
FetchSnapshot(const store::ObjectHooks& aObjects,
              const membership::SnapshotReference& aReference,
              RecoveredPartition& aTo)
{
  auto bytes = aObjects.mFetch(aReference.mObject);
  if (absl::IsNotFound(bytes.status())) {
    return absl::DataLossError("missing snapshot " + aReference.mObject);
  }
  if (!bytes.ok()) {
    return At(aReference.mObject, bytes.status());
  }
  aTo.mSnapshot = *std::move(bytes);
  aTo.mSnapshotSequence = aReference.mSequence;
  aTo.mLastSequence = aReference.mSequence;
  return absl::OkStatus();
}

absl::Status
TakeLogRow(const store::TableRow& aRow, RecoveredPartition& aTo)
{
  const auto key = ParseLogRowKey(aRow.mKey);
  if (!key.ok()) {
    return key.status();
  }
  if (key->mEpoch > aTo.mEpoch) {
    return absl::AbortedError(aRow.mKey + ": log of a later epoch");
  }
  auto batch = ParseLogBatch(aRow.mValue);
  if (!batch.ok()) {
    return At(aRow.mKey, batch.status());
  }
  if (batch->mRecords.front().mSequence != key->mFirstSequence) {
    return absl::DataLossError(aRow.mKey + ": holds another sequence");
  }
  if (batch->mRecords.back().mSequence <= aTo.mLastSequence) {
    return absl::OkStatus();
  }
  if (batch->mPreviousSequence > aTo.mLastSequence) {
    return absl::DataLossError(
      fmt::format("{}: follows {}, but the log before ends at {}",
                  aRow.mKey,
                  batch->mPreviousSequence,
                  aTo.mLastSequence));
  }
  for (LogRecord& record : batch->mRecords) {
    if (record.mSequence > aTo.mLastSequence) {
      aTo.mLastSequence = record.mSequence;
      aTo.mRecords.push_back(std::move(record));
    }
  }
  return absl::OkStatus();
}

absl::Status
ReadLog(const store::TableHooks& aTable,
        PartitionId aPartition,
        Epoch aFrom,
        const RecoveryLimits& aLimits,
        RecoveredPartition& aTo)
{
  std::string after = LogEpochStart(aPartition, aFrom);
  std::size_t bytes = 0;
  while (true) {
    const auto rows =
      aTable.mScan(LogPrefix(aPartition), after, aLimits.mPageRows);
    if (!rows.ok()) {
      return rows.status();
    }
    for (const store::TableRow& row : *rows) {
      bytes += row.mValue.size();
      if (bytes > aLimits.mMaxLogBytes) {
        return absl::ResourceExhaustedError("log above the limit");
      }
      if (absl::Status status = TakeLogRow(row, aTo); !status.ok()) {
        return status;
      }
    }
    if (rows->size() < aLimits.mPageRows) {
      return absl::OkStatus();
    }
    after = rows->back().mKey;
  }
}

} // namespace

absl::StatusOr<RecoveredPartition>
RecoverPartition(const store::TableHooks& aTable,
                 const store::ObjectHooks& aObjects,
                 PartitionId aPartition,
                 const RecoveryLimits& aLimits)
{
  const std::string key = membership::PartitionRowKey(aPartition);
  const auto row = aTable.mRead(key);
  if (!row.ok()) {
    return row.status();
  }
  if (!row->Exists()) {
    return absl::NotFoundError("no row " + key);
  }
  const auto owner = membership::ParseOwnershipRow(row->mValue);
  if (!owner.ok()) {
    return At(key, owner.status());
  }
  RecoveredPartition recovered{ .mEpoch = owner->mEpoch,
                                .mRowVersion = row->mVersion };
  absl::Status status;
  if (owner->mSnapshot) {
    status = FetchSnapshot(aObjects, *owner->mSnapshot, recovered);
  }
  if (status.ok()) {
    status =
      ReadLog(aTable, aPartition, owner->mLogFromEpoch, aLimits, recovered);
  }
  if (!status.ok()) {
    return status;
  }
  return recovered;
}

} // namespace oriolevane::journal
