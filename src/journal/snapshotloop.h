// Uploads snapshots and removes what they replace, without a thread of its own.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include <absl/status/statusor.h>

#include "framework/types/timepoint.h"
#include "journal/journaloptions.h"
#include "journal/types/snapshot.h"
#include "store/platformhooks.h"

namespace oriolevane::journal {

// Not thread-safe.
class SnapshotLoop
{
public:
  // aOnStored: the object is there, and the row may point at it. aOnFailed: the
  // upload was given up.
  struct Hooks
  {
    std::function<void(const SnapshotId&)> mOnStored;
    std::function<void(const SnapshotOutcome&)> mOnFailed;
  };

  SnapshotLoop(JournalOptions aOptions,
               store::TableHooks aTable,
               store::ObjectHooks aObjects,
               Hooks aHooks);

  // Does at most one upload and one removal; returns when to call again.
  TimePoint Step(TimePoint aNow);

  void Upload(Snapshot aSnapshot);
  // The row points at the snapshot: removes the log rows that it covers, then
  // the object that it replaced, if any.
  void CleanUp(const SnapshotId& aSnapshot, std::string aReplacedObject);
  // The row will never point at this snapshot.
  void Discard(const SnapshotId& aSnapshot);

private:
  struct Removal
  {
    SnapshotId mSnapshot;
    std::string mReplacedObject;
  };

  void UploadNext(TimePoint aNow);
  void RemoveNext(TimePoint aNow);
  // Removes one batch of covered log rows; false when none is left.
  absl::StatusOr<bool> RemoveLogRows(const SnapshotId& aSnapshot) const;

  JournalOptions mOptions;
  store::TableHooks mTable;
  store::ObjectHooks mObjects;
  Hooks mHooks;
  std::deque<Snapshot> mUploads;
  std::uint32_t mTries = 0;
  TimePoint mNextUpload{};
  std::deque<Removal> mRemovals;
  TimePoint mNextRemoval{};
};

} // namespace oriolevane::journal
