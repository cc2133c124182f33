// Keeps the records that the journal has not confirmed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "coordination/internal/records.h"
#include "coordination/types/coordinatoraction.h"

namespace oriolevane::coordination::internal {

// A record that is not confirmed. A specification or a status is kept in mBytes
// only; mRecord has just its request id.
struct PendingRecord
{
  std::uint64_t mSequence = 0;
  Record mRecord;
  std::string mBytes;
  // The record was handed to the journal and has not failed since.
  bool mAppended = false;
  // A write of these bytes may have taken effect, so they must not change.
  bool mMaybeWritten = false;
};

// Keeps the bytes of each record until it is durable, in the order of their
// sequences. The engine hands out none while the store is unavailable.
class PendingRecords
{
public:
  // Sets the last committed sequence; new records are numbered from the next
  // one.
  void StartAfter(std::uint64_t aSequence);
  // Encodes the record and returns its sequence.
  std::uint64_t Add(Record aRecord);
  // Removes the records up to and including aSequence and returns them, oldest
  // first. Returns none when aSequence was never assigned.
  std::vector<PendingRecord> TakeCommitted(std::uint64_t aSequence);
  // Returns null when no pending record has this sequence.
  PendingRecord* Find(std::uint64_t aSequence);
  // Marks a record that the journal could not confirm to be handed out again.
  void MarkFailed(PendingRecord& aRecord, bool aSurelyNotWritten);
  // Replaces the record by a void record of the same sequence. Allowed only
  // when the record has surely not been written.
  static void ReplaceWithVoid(PendingRecord& aRecord);
  // Returns up to aMax records that are to be handed to the journal and marks
  // them as handed out.
  std::vector<AppendRecord> TakeUnappended(std::size_t aMax);
  std::uint64_t Committed() const { return mCommitted; }
  std::size_t Size() const { return mRecords.size(); }

private:
  std::deque<PendingRecord> mRecords;
  std::uint64_t mCommitted = 0;
  // All records below this sequence have been handed to the journal.
  std::uint64_t mFirstUnappended = 1;
};

} // namespace oriolevane::coordination::internal
