// Group commit of the logs of all partitions that a node owns: what goes into
// the next transaction, and what its result means. Deterministic: no I/O,
// threads or clock.
//
// A transaction puts new log rows under the condition that each partition row
// still has the version known here and that the log rows are absent. It is
// applied whole or not at all, and while it may have been applied nothing else
// is written under its keys.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "journal/logpacker.h"
#include "journal/types/appendoutcome.h"
#include "journal/types/logrecord.h"
#include "journal/types/openpartition.h"
#include "journal/types/queuedrecord.h"
#include "store/types/tablerow.h"
#include "store/types/transaction.h"

namespace oriolevane::journal {

struct GroupCommitOptions
{
  // Value of one log row.
  std::size_t mMaxRowBytes = 64UL * 1024;
  // Values of all rows of one transaction.
  std::size_t mMaxTransactionBytes = 1024UL * 1024;
  // Queued bytes of one partition; more are refused.
  std::size_t mMaxQueuedBytes = 4UL * 1024 * 1024;
  // A record that waits longer is refused, and all behind it.
  std::chrono::milliseconds mMaxQueueTime{ 5'000 };
};

class GroupCommit
{
public:
  explicit GroupCommit(GroupCommitOptions aOptions = {});

  // Opens a partition for appending; one that was open under a lower epoch is
  // closed first.
  std::vector<AppendOutcome> Open(const OpenPartition& aPartition);
  // The partition was released or lost. Reports what is not settled as
  // deposed.
  std::vector<AppendOutcome> Close(PartitionId aPartition);
  // Queues a record; an outcome only when it is refused at once. A sequence
  // that does not rise is refused as perhaps written before.
  std::optional<AppendOutcome> Append(PartitionId aPartition,
                                      LogRecord aRecord,
                                      TimePoint aNow);
  // Refuses what has waited too long.
  std::vector<AppendOutcome> Expire(TimePoint aNow);

  // True when there is a transaction to submit.
  bool HasWork() const;
  // True when nothing is queued or under way.
  bool IsIdle() const { return !HasWork(); }
  // The transaction to submit now: the one before again as long as its result
  // is open, otherwise a new one from the queues. Empty without work.
  store::Transaction Prepare();

  // Results of the submitted transaction; each call to Prepare is answered by
  // one of these.
  std::vector<AppendOutcome> OnCommitted();
  // Surely not applied.
  void OnNotApplied();
  // Perhaps applied, now or later.
  void OnUncertain();
  // A condition failed.
  void OnAborted();

  // Rows to read, in this order, before the next Prepare; empty when nothing is
  // in question. Partition rows come first: when one has changed, the
  // transaction cannot be applied between that read and those of the log rows.
  std::vector<std::string> RowsInQuestion() const;
  // Takes these rows, read after the result. Settles the transaction, or
  // leaves it to be submitted again.
  std::vector<AppendOutcome> OnRowsRead(
    const std::vector<store::TableRow>& aRows);

  // The partition row was written by this node.
  void SetRowVersion(PartitionId aPartition, std::uint64_t aVersion);
  // What is known of an open partition.
  struct PartitionStatus
  {
    Epoch mEpoch;
    std::uint64_t mRowVersion = 0;
    std::uint64_t mOpenedAfter = 0;
    std::uint64_t mLastCommitted = 0;
  };
  std::optional<PartitionStatus> Status(PartitionId aPartition) const;

private:
  struct PartitionLog
  {
    PartitionStatus mStatus;
    std::uint64_t mLastQueued = 0;
    std::size_t mQueuedBytes = 0;
    std::deque<QueuedRecord> mQueue;
  };
  // The share of one partition in a transaction.
  struct Part
  {
    PartitionId mPartition;
    Epoch mEpoch;
    std::uint64_t mRowVersion = 0;
    PackedLog mLog;
  };
  struct Attempt
  {
    std::vector<Part> mParts;
    bool mMayBeApplied = false;
    bool mInQuestion = false;
  };
  // What a read back says of one part.
  struct Finding
  {
    bool mApplied = false;
    bool mDeposed = false;
    bool mRowChanged = false;
    std::uint64_t mRowVersion = 0;
  };

  Attempt BuildAttempt() const;
  PartitionLog* LogOf(const Part& aPart);
  std::size_t RecordsUnderWay(PartitionId aPartition) const;
  std::vector<AppendOutcome> Settle();
  std::vector<AppendOutcome> SettleUnapplied(
    const std::vector<Finding>& aFindings);
  std::vector<AppendOutcome> Depose(PartitionId aPartition,
                                    bool aSurelyNotWritten);
  Finding Judge(const Part& aPart,
                const std::map<std::string, store::TableRow>& aRows) const;

  GroupCommitOptions mOptions;
  std::map<PartitionId, PartitionLog> mLogs;
  std::optional<Attempt> mAttempt;
  // Where the next transaction starts, so that a large partition does not keep
  // others out.
  PartitionId mFirst;
};

} // namespace oriolevane::journal
