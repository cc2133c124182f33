#include "coordination/internal/pendingrecords.h"

#include <algorithm>
#include <utility>

namespace oriolevane::coordination::internal {

namespace {

// Drops all but the request id of a specification or status. Nothing else is
// needed once the record is encoded.
void
DropEncodedFields(Record& aRecord)
{
  if (auto* accepted = std::get_if<AcceptedRecord>(&aRecord)) {
    accepted->mSpec = protocol::RequestSpec{ .mId = accepted->mSpec.mId };
  } else if (auto* finished = std::get_if<FinishedRecord>(&aRecord)) {
    finished->mStatus = protocol::RequestStatus{ .mId = finished->mStatus.mId };
  }
}

} // namespace

void
PendingRecords::StartAfter(std::uint64_t aSequence)
{
  mCommitted = aSequence;
  mFirstUnappended = aSequence + 1;
}

std::uint64_t
PendingRecords::Add(Record aRecord)
{
  const std::uint64_t sequence = mCommitted + mRecords.size() + 1;
  std::string bytes = EncodeRecord(sequence, aRecord);
  DropEncodedFields(aRecord);
  mRecords.push_back({ .mSequence = sequence,
                       .mRecord = std::move(aRecord),
                       .mBytes = std::move(bytes) });
  return sequence;
}

std::vector<PendingRecord>
PendingRecords::TakeCommitted(std::uint64_t aSequence)
{
  std::vector<PendingRecord> committed;
  if (aSequence > mCommitted + mRecords.size()) {
    return committed;
  }
  while (!mRecords.empty() && mRecords.front().mSequence <= aSequence) {
    committed.push_back(std::move(mRecords.front()));
    mRecords.pop_front();
    ++mCommitted;
  }
  return committed;
}

PendingRecord*
PendingRecords::Find(std::uint64_t aSequence)
{
  if (aSequence <= mCommitted || aSequence > mCommitted + mRecords.size()) {
    return nullptr;
  }
  return &mRecords[aSequence - mCommitted - 1];
}

void
PendingRecords::MarkFailed(PendingRecord& aRecord, bool aSurelyNotWritten)
{
  aRecord.mAppended = false;
  aRecord.mMaybeWritten = aRecord.mMaybeWritten || !aSurelyNotWritten;
  mFirstUnappended = std::min(mFirstUnappended, aRecord.mSequence);
}

void
PendingRecords::ReplaceWithVoid(PendingRecord& aRecord)
{
  aRecord.mRecord = VoidRecord{};
  aRecord.mBytes = EncodeRecord(aRecord.mSequence, aRecord.mRecord);
}

std::vector<AppendRecord>
PendingRecords::TakeUnappended(std::size_t aMax)
{
  std::vector<AppendRecord> unappended;
  mFirstUnappended = std::max(mFirstUnappended, mCommitted + 1);
  while (mFirstUnappended <= mCommitted + mRecords.size() &&
         unappended.size() < aMax) {
    PendingRecord& record = mRecords[mFirstUnappended - mCommitted - 1];
    if (!record.mAppended) {
      record.mAppended = true;
      unappended.push_back(
        { .mSequence = record.mSequence, .mBytes = record.mBytes });
    }
    ++mFirstUnappended;
  }
  return unappended;
}

} // namespace oriolevane::coordination::internal
