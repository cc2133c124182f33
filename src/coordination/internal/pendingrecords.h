// The records that the journal has not confirmed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "coordination/internal/records.h"
#include "coordination/types/coordinatoraction.h"

namespace oriolevane::coordination::internal {

// A record on its way. mRecord names what it is about; a specification or an
// outcome is kept in mBytes only.
struct PendingRecord
{
  std::uint64_t mSequence = 0;
  Record mRecord;
  std::string mBytes;
  // Handed to the journal and not reported as failed since.
  bool mAppended = false;
  // A write of these bytes may have taken effect: they never change again.
  bool mMaybeWritten = false;
};

// Keeps the bytes of each record until it is durable, in sequence order. While
// the store is away nothing is handed out.
class PendingRecords
{
public:
  // The sequence after which new records count on.
  void StartAfter(std::uint64_t aSequence);
  std::uint64_t Add(Record aRecord);
  // Takes the records up to aSequence, oldest first; none when aSequence was
  // never given out.
  std::vector<PendingRecord> TakeCommitted(std::uint64_t aSequence);
  PendingRecord* Find(std::uint64_t aSequence);
  // The journal failed to confirm the record: it is handed out again.
  void MarkFailed(PendingRecord& aRecord, bool aSurelyNotWritten);
  // Puts a void record under the sequence; only when surely not written.
  static void Void(PendingRecord& aRecord);
  // Marks what is not handed out yet as handed out, up to aMost.
  std::vector<AppendRecord> TakeUnsent(std::size_t aMost);
  std::uint64_t Committed() const { return mCommitted; }
  std::size_t Size() const { return mRecords.size(); }

private:
  std::deque<PendingRecord> mRecords;
  std::uint64_t mCommitted = 0;
  // No record below this sequence waits to be handed out.
  std::uint64_t mFirstUnsent = 1;
};

} // namespace oriolevane::coordination::internal
