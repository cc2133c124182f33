// One attempt at one task, from its arrival until its end is acknowledged.
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

struct Attempt
{
  protocol::TaskKey mKey;
  PartitionId mPartition;
  // Null when the attempt was found in a worker's inventory.
  std::shared_ptr<Batch> mBatch;
  Resources mResources;
  protocol::TaskState mState = protocol::TaskState::Queued;
  protocol::TaskEndReason mReason = protocol::TaskEndReason::None;
  std::string mAnswer;
  std::optional<std::chrono::milliseconds> mRetryAfter;
  WorkerIndex mWorker = kNoWorker;
  // Position in the worker's list of attempts.
  std::uint32_t mPosition = 0;
  // Tells this use of a table slot from earlier ones.
  std::uint32_t mGeneration = 0;
  // Urgency level in the queue; rises with age.
  std::uint8_t mLevel = 0;
  // The attempt's resources are granted on mWorker.
  bool mCounted = false;
  // A report has listed it as running or ended.
  bool mSeen = false;
  // The latest report lists it: the worker must be told to forget it.
  bool mKept = false;
  // It was given up while its worker was silent; the worker may still list it.
  bool mUnconfirmed = false;
  bool mAcknowledged = false;
  // A predecessor of this placer may have started it; it waits for the workers'
  // inventories.
  bool mUnsure = false;
  // Why it was ordered to stop; None when it was not.
  protocol::TaskEndReason mStopReason = protocol::TaskEndReason::None;
  // Sequence of the first command that carried its start; zero before.
  std::uint64_t mStartSequence = 0;
  // Sequence of the latest report that listed it.
  std::uint64_t mListedIn = 0;
  TimePoint mPlacedAt;

  bool IsFinal() const { return protocol::IsFinal(mState); }
  // In the queue, no capacity granted.
  bool IsWaiting() const
  {
    return mState == protocol::TaskState::Queued && !mCounted && !mUnsure;
  }
};

} // namespace oriolevane::placement
