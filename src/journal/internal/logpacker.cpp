#include "journal/logpacker.h"

#include <algorithm>

#include "journal/logcodec.h"

namespace oriolevane::journal {

namespace {

// Empty when not even one record fits.
LogBatch
TakeBatch(const std::deque<QueuedRecord>& aQueue,
          std::size_t aFrom,
          std::size_t aMostBytes)
{
  LogBatch batch;
  std::size_t bytes = kEncodedBatchBytes;
  for (std::size_t at = aFrom; at < aQueue.size(); ++at) {
    const LogRecord& record = aQueue[at].mRecord;
    bytes += EncodedRecordBytes(record);
    if (bytes > aMostBytes) {
      break;
    }
    batch.mRecords.push_back(record);
  }
  return batch;
}

} // namespace

PackedLog
PackLog(PartitionId aPartition,
        Epoch aEpoch,
        std::uint64_t aPreviousSequence,
        const std::deque<QueuedRecord>& aQueue,
        const PackLimits& aLimits)
{
  PackedLog packed;
  std::uint64_t previous = aPreviousSequence;
  while (packed.mRecords < aQueue.size()) {
    const std::size_t room = aLimits.mMaxBytes - packed.mBytes;
    LogBatch batch =
      TakeBatch(aQueue, packed.mRecords, std::min(room, aLimits.mMaxRowBytes));
    if (batch.mRecords.empty()) {
      break;
    }
    batch.mPreviousSequence = previous;
    previous = batch.mRecords.back().mSequence;
    packed.mRecords += batch.mRecords.size();
    packed.mRows.push_back(
      { EncodeLogRowKey(
          { aPartition, aEpoch, batch.mRecords.front().mSequence }),
        EncodeLogBatch(batch) });
    packed.mBytes += packed.mRows.back().mValue.size();
  }
  return packed;
}

} // namespace oriolevane::journal
