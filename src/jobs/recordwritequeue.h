// Queue of the records that have changed since they were last written to the
// store, in the order of their first change.
#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/types/taskkey.h"

namespace oriolevane::jobs {

// The kinds of records that are kept in the store.
enum class RecordKind
{
  Job,
  Progress,
  Finished,
  Worker
};

// Identifies a record in the store.
struct RecordKey
{
  RecordKind mKind = RecordKind::Job;
  // Job id, "JOB.OCCURRENCE" or "JOB.OCCURRENCE.PART" for progress, or worker
  // id.
  std::string mName;

  auto operator<=>(const RecordKey&) const = default;
};

// Collects changed records and hands them out in batches to be written. Each
// change has a position. A record that changes again before it is written is
// written only once.
class RecordWriteQueue
{
public:
  // Queues a record to be written and returns the position of this change.
  RecordPosition Mark(RecordKey aKey);
  // Queues a record that makes another one redundant. If aReplaced is still
  // queued, it is not written, and the new record takes its place in the queue.
  RecordPosition MarkInsteadOf(RecordKey aKey, const RecordKey& aReplaced);
  // Schedules the removal of a record that is no longer needed. Removals go
  // into a batch only when it has room left. A record that was never handed out
  // for writing needs no removal.
  void Remove(const RecordKey& aKey);
  // Notes that an earlier owner has written the record.
  void NoteWritten(RecordKey aKey);
  // Removes a record from the queue. Returns false when it is not queued, for
  // example because it has been handed out already.
  bool Withdraw(const RecordKey& aKey);
  // Hands out the next records to write or remove, at most aMaxRecords. The
  // caller must call Confirm() before it takes another batch.
  std::vector<RecordKey> TakeBatch(std::size_t aMaxRecords);
  // Notes that the last batch has been written. Returns the position up to
  // which all changes are in the store.
  RecordPosition Confirm();
  // Position up to which all changes are in the store.
  RecordPosition Recorded() const { return mRecorded; }
  // Position of the latest change.
  RecordPosition Newest() const { return mNewest; }
  // True when writes or removals are queued.
  bool HasWaiting() const { return !mWaiting.empty() || !mRemovals.empty(); }
  // Number of queued writes, without removals.
  std::size_t Waiting() const { return mWaiting.size(); }

private:
  struct Entry
  {
    RecordKey mKey;
    RecordPosition mFirstChange;
  };

  std::deque<Entry> mWaiting;
  std::set<RecordKey> mWaitingKeys;
  std::set<RecordKey> mRemovals;
  // Records that were handed out for writing and have not been removed since.
  std::set<RecordKey> mWritten;
  RecordPosition mNewest;
  RecordPosition mRecorded;
  // Position up to which all changes are in the store once the last batch is.
  RecordPosition mBatchPosition;
};

} // namespace oriolevane::jobs
