// The journal duty of a node: one thread commits the logs of its partitions in
// groups, another uploads snapshots and removes what they replace.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "framework/boundedqueue.h"
#include "framework/types/ids.h"
#include "journal/journalloop.h"
#include "journal/journaloptions.h"
#include "journal/recovery.h"
#include "journal/snapshotloop.h"
#include "journal/types/openpartition.h"
#include "store/platformhooks.h"

namespace oriolevane::journal {

// Its methods may be called from any thread, hooks included.
//
// Life of a partition: its row is acquired; Recover; Open; Append and
// SaveSnapshot; then, to give it up, Flush, Close and the release of its row.
class Journal
{
public:
  Journal(JournalOptions aOptions,
          store::TableHooks aTable,
          store::ObjectHooks aObjects,
          JournalHooks aHooks);
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;
  // Stops.
  ~Journal();

  void Start();
  // Ends the threads. What is not settled is reported no more; Flush first for
  // a planned stop.
  void Stop();

  // Blocks for several calls to the store; see RecoverPartition.
  absl::StatusOr<RecoveredPartition> Recover(PartitionId aPartition) const;

  // These return kResourceExhausted, surely without effect, when too much is
  // queued, and kFailedPrecondition after Stop.
  absl::Status Open(const OpenPartition& aPartition);
  absl::Status Close(PartitionId aPartition);
  // Every accepted record is reported once through mOnOutcome.
  absl::Status Append(PartitionId aPartition,
                      std::uint64_t aSequence,
                      std::string aBytes);
  // aDone is called on the journal thread when all that was appended before is
  // settled.
  absl::Status Flush(std::function<void()> aDone);
  // The snapshot holds all records up to and with aSequence, which must be
  // committed. Reported through mOnSnapshot.
  absl::Status SaveSnapshot(PartitionId aPartition,
                            Epoch aEpoch,
                            std::uint64_t aSequence,
                            std::string aBytes);
  // How many nodes share the store's write budget.
  void SetLiveNodes(std::uint32_t aNodes) { mLiveNodes = aNodes; }

private:
  using Command = std::function<void(JournalLoop&, TimePoint)>;
  using SnapshotCommand = std::function<void(SnapshotLoop&)>;

  absl::Status Push(Command aCommand);
  void RunJournal();
  void RunSnapshots();
  void PointAt(const SnapshotId& aSnapshot);
  void OnPointed(const SnapshotId& aSnapshot,
                 const JournalLoop::PointOutcome& aOutcome);
  void ReportSnapshot(const SnapshotOutcome& aOutcome) const;
  SnapshotLoop::Hooks MakeSnapshotHooks();

  JournalOptions mOptions;
  store::TableHooks mTable;
  store::ObjectHooks mObjects;
  JournalHooks mHooks;
  JournalLoop mLoop;
  SnapshotLoop mSnapshots;
  BoundedQueue<Command> mCommands;
  BoundedQueue<SnapshotCommand> mSnapshotCommands;
  std::atomic<std::size_t> mRingBytes{ 0 };
  std::atomic<std::uint32_t> mLiveNodes{ 1 };
  std::thread mJournalThread;
  std::thread mSnapshotThread;
};

} // namespace oriolevane::journal
