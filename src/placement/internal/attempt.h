// The state of one attempt to run a task.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "framework/types/timepoint.h"
#include "placement/internal/batch.h"
#include "placement/internal/handles.h"
#include "protocol/types/taskkey.h"
#include "protocol/types/taskstate.h"

namespace oriolevane::placement {

// Exists from the attempt's arrival, or its discovery on a worker, until its
// end is acknowledged and no worker lists it any more.
struct Attempt
{
  protocol::TaskKey mKey;
  PartitionId mPartition;
  // Null when the attempt is known only from a worker's inventory.
  std::shared_ptr<Batch> mBatch;
  Resources mResources;
  protocol::TaskState mState = protocol::TaskState::Queued;
  protocol::TaskEndReason mReason = protocol::TaskEndReason::None;
  std::string mAnswer;
  // For a refused attempt: when a later try may succeed.
  std::optional<std::chrono::milliseconds> mRetryAfter;
  WorkerIndex mWorker = kNoWorker;
  // Index of this attempt in the worker's list of attempts.
  std::uint32_t mPosition = 0;
  // Distinguishes this use of a table slot from earlier ones.
  std::uint32_t mGeneration = 0;
  // Urgency level in the queue; increases with the time spent waiting.
  std::uint8_t mLevel = 0;
  // The attempt's resources are granted on mWorker.
  bool mResourcesGranted = false;
  // True once a worker report has listed it as running or ended.
  bool mReported = false;
  // True while the worker lists it as ended: the worker must be told to forget
  // it.
  bool mKeptByWorker = false;
  // Its worker's leases lapsed without a report about its end; the worker may
  // still list it.
  bool mMayStillBeListed = false;
  // The coordinator has recorded the end.
  bool mAcknowledged = false;
  // Not admitted to the queue: either it has just arrived, or an earlier owner
  // of the shard may have started it and the workers' inventories must show
  // whether it did.
  bool mUnresolved = false;
  // Why it was ordered to stop; None when it was not ordered to.
  protocol::TaskEndReason mStopReason = protocol::TaskEndReason::None;
  // Sequence number of the first command that contained its start order; zero
  // when none has been sent.
  std::uint64_t mStartSequence = 0;
  // Sequence number of the latest worker report that listed it.
  std::uint64_t mLastListedSequence = 0;
  // When its start order was created, or when it was found on a worker.
  TimePoint mPlacedAt;
  // For a waiting attempt: whether the last search found no worker, and the
  // change number of FreedWorkers at that time.
  bool mHasFailedSearch = false;
  std::uint64_t mCheckedChange = 0;
  // Set when that search skipped workers: when to search all of them again.
  std::optional<TimePoint> mSearchAgainAt;

  bool IsFinal() const { return protocol::IsFinal(mState); }
  // True while it is in the queue without granted resources.
  bool IsWaiting() const
  {
    return mState == protocol::TaskState::Queued && !mResourcesGranted &&
           !mUnresolved;
  }
};

} // namespace oriolevane::placement
