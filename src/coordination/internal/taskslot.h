// One task of a live request.
#pragma once

#include <cstdint>
#include <string>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/taskstate.h"

namespace oriolevane::coordination::internal {

enum class SlotPhase : std::uint8_t
{
  // No attempt is out.
  Waiting,
  // A Dispatched record is on its way to the journal.
  Recording,
  // Sent to a placer that has not answered.
  Sent,
  // Capacity is reserved, not started.
  Held,
  // The placer has it.
  Out,
  // Nothing more will be tried.
  Done
};

// mAttempt names the newest attempt; earlier ones are surely over.
struct TaskSlot
{
  SlotPhase mPhase = SlotPhase::Waiting;
  protocol::TaskState mState = protocol::TaskState::Queued;
  bool mCancelWanted = false;
  // Copies of the newest PlaceTasks; stops counting at 255.
  std::uint8_t mSends = 0;
  // Attempts that started, or may have.
  std::uint16_t mTries = 0;
  // Attempts made, started or not, under this epoch.
  std::uint16_t mDispatches = 0;
  std::uint32_t mAttempt = 0;
  ShardId mShard;
  // The placer's epoch that the attempt was sent to or seen under.
  Epoch mPlacerEpoch;
  TimePoint mNotBefore;
  WorkerId mWorker;
  std::string mAnswer;
};

} // namespace oriolevane::coordination::internal
