// One task of a live request.
#pragma once

#include <cstdint>
#include <string>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/taskstate.h"

namespace oriolevane::coordination::internal {

// How far the newest attempt of a task has come.
enum class SlotPhase : std::uint8_t
{
  // The task has no unfinished attempt.
  Waiting,
  // The Dispatched record of the attempt is not durable yet.
  Recording,
  // The attempt was sent to a placer that has not answered.
  Sent,
  // The placer has reserved capacity for the attempt but not started it.
  Held,
  // The placer has accepted the attempt.
  Placed,
  // The task gets no further attempts.
  Done
};

// mAttempt is the number of the newest attempt; all earlier attempts have
// ended.
struct TaskSlot
{
  SlotPhase mPhase = SlotPhase::Waiting;
  protocol::TaskState mState = protocol::TaskState::Queued;
  bool mCancelRequested = false;
  // How often the PlaceTasks message of the newest attempt was sent, at most
  // 255.
  std::uint8_t mPlacementsSent = 0;
  // The number of attempts that started or may have started.
  std::uint16_t mStartedAttempts = 0;
  // The number of attempts, started or not, under this epoch of the partition.
  std::uint16_t mDispatches = 0;
  std::uint32_t mAttempt = 0;
  ShardId mShard;
  // The placer's epoch at which the attempt was sent or last reported.
  Epoch mPlacerEpoch;
  TimePoint mNotBefore;
  WorkerId mWorker;
  std::string mAnswer;
};

} // namespace oriolevane::coordination::internal
