// The journal duty without its thread: drives group commit against the store
// and points partition rows at new snapshots.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include <absl/status/status.h>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "journal/groupcommit.h"
#include "journal/journaloptions.h"
#include "journal/types/openpartition.h"
#include "journal/types/snapshot.h"
#include "membership/types/ownershiprow.h"
#include "store/platformhooks.h"

namespace oriolevane::journal {

// Not thread-safe.
class JournalLoop
{
public:
  JournalLoop(JournalOptions aOptions,
              store::TableHooks aTable,
              JournalHooks aHooks);

  // Does what is due at aNow and returns when to call again at the latest; an
  // append may make it due earlier.
  TimePoint Step(TimePoint aNow);

  void Open(const OpenPartition& aPartition);
  void Close(PartitionId aPartition);
  void Append(PartitionId aPartition, LogRecord aRecord, TimePoint aNow);
  // Calls aDone once all that was appended so far is settled.
  void Flush(std::function<void()> aDone);
  struct PointOutcome
  {
    absl::Status mStatus;
    // The reference that the row held before.
    std::optional<membership::SnapshotReference> mReplaced;
    // The row surely never pointed at the snapshot and never will.
    bool mUnreferenced = false;
  };
  using PointDone = std::function<void(const PointOutcome&)>;
  // The snapshot is in the object store; the partition row is to point at it.
  // Tried until the store answers.
  void PointAtSnapshot(const SnapshotId& aSnapshot, PointDone aDone);
  void SetLiveNodes(std::uint32_t aNodes) { mLiveNodes = aNodes; }

private:
  struct Pointing
  {
    SnapshotId mSnapshot;
    PointDone mDone;
    // What the row pointed at before the first try.
    std::optional<membership::SnapshotReference> mBefore;
    bool mTried = false;
    // The last read of the row showed that it does not, and no try was made.
    bool mUnreferenced = false;
  };

  void Attempt(TimePoint aNow);
  void TakeResult(const absl::Status& aStatus);
  // False when the store did not answer.
  bool ReadBack();
  void Point(TimePoint aNow);
  absl::Status TryPoint(Pointing& aPointing);
  absl::Status CheckSnapshot(const SnapshotId& aSnapshot) const;
  void Probe(TimePoint aNow);
  void NoteResult(const absl::Status& aStatus, TimePoint aNow);
  void Report(const std::vector<AppendOutcome>& aOutcomes) const;

  JournalOptions mOptions;
  store::TableHooks mTable;
  JournalHooks mHooks;
  GroupCommit mCommit;
  StoreHealthTracker mHealth;
  std::deque<Pointing> mPointings;
  std::vector<std::function<void()>> mFlushes;
  std::uint32_t mLiveNodes = 1;
  TimePoint mNextCommit{};
  Duration mBackoff{ 0 };
};

} // namespace oriolevane::journal
