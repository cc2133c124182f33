// Settings and hooks of the journal duty.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>

#include "journal/commitpace.h"
#include "journal/groupcommit.h"
#include "journal/recovery.h"
#include "journal/storehealth.h"
#include "journal/types/appendoutcome.h"
#include "journal/types/snapshot.h"

namespace oriolevane::journal {

struct JournalOptions
{
  GroupCommitOptions mGroupCommit;
  CommitPace mPace;
  StoreHealthOptions mHealth;
  RecoveryLimits mRecovery;
  // Wait after a failed call to the store, doubled up to the longest.
  std::chrono::milliseconds mRetryInterval{ 100 };
  std::chrono::milliseconds mLongestRetryInterval{ 1'000 };
  // Appends and other calls that wait for the journal thread, and their bytes.
  std::size_t mRingCapacity = 65'536;
  std::size_t mRingBytes = 16UL * 1024 * 1024;
  // Snapshots that wait for their upload.
  std::size_t mSnapshotRingCapacity = 64;
  // Old log rows removed by one transaction, and the time between two.
  std::size_t mDeletedRows = 100;
  std::chrono::milliseconds mDeleteInterval{ 250 };
};

// Called on the journal's threads; they must not block for long. Unset hooks
// are skipped.
struct JournalHooks
{
  // Each appended record is reported exactly once.
  std::function<void(const AppendOutcome&)> mOnOutcome;
  std::function<void(const SnapshotOutcome&)> mOnSnapshot;
  std::function<void(StoreHealth)> mOnStoreHealth;
};

} // namespace oriolevane::journal
