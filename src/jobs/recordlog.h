// Which records have changed since they were last written, in the order of
// their first change.
#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/types/taskkey.h"

namespace oriolevane::jobs {

enum class RecordKind
{
  Job,
  Progress,
  Finished,
  Worker
};

struct RecordKey
{
  RecordKind mKind = RecordKind::Job;
  // Job id, "JOB.OCCURRENCE", or worker id.
  std::string mName;

  auto operator<=>(const RecordKey&) const = default;
};

// A change is identified by its position. A record that changes again before it
// is written is written once.
class RecordLog
{
public:
  RecordPosition Mark(RecordKey aKey);
  // Marks a record that also says what another one would have: where that one
  // waits, it is not written any more and this one takes its place.
  RecordPosition MarkInsteadOf(RecordKey aKey, const RecordKey& aReplaced);
  // The record is of no use any more. It is removed when a batch has room left;
  // nothing is done for a record that was never given out.
  void Remove(const RecordKey& aKey);
  // The record was written by an earlier owner.
  void NoteWritten(RecordKey aKey);
  // Takes back a record that has not been given out yet; false otherwise.
  bool Withdraw(const RecordKey& aKey);
  // Takes the records to write next, at most so many. Until Confirm() nothing
  // else is given out.
  std::vector<RecordKey> TakeBatch(std::size_t aMost);
  // The last batch is written: all changes up to this position are.
  RecordPosition Confirm();
  RecordPosition Recorded() const { return mRecorded; }
  // Position of the newest change.
  RecordPosition Newest() const { return mNewest; }
  bool HasWaiting() const { return !mWaiting.empty() || !mRemovals.empty(); }
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
  // Given out, and not removed since.
  std::set<RecordKey> mWritten;
  RecordPosition mNewest;
  RecordPosition mRecorded;
  RecordPosition mBatchCovers;
};

} // namespace oriolevane::jobs
