// A request without a recorded outcome.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coordination/internal/records.h"
#include "coordination/internal/taskslot.h"
#include "coordination/internal/trail.h"
#include "framework/types/timepoint.h"
#include "protocol/types/requestspec.h"
#include "protocol/types/requeststatus.h"

namespace oriolevane::coordination::internal {

enum class WaitFor : std::uint8_t
{
  // The final outcome.
  Outcome,
  // The Accepted record.
  Acceptance,
  // The Cancelled record.
  Cancellation
};

// A call whose reply is out.
struct Waiter
{
  std::uint32_t mOrigin = 0;
  std::uint64_t mCall = 0;
  WaitFor mFor = WaitFor::Outcome;
  bool mExplain = false;
};

// One shard's share of a gang.
struct GangPart
{
  ShardId mShard;
  std::vector<std::uint32_t> mIndexes;
  bool mHeld = false;
};

// A gang that holds capacity shard by shard, in ascending order.
struct GangHold
{
  std::vector<GangPart> mParts;
  // Parts before this one have been sent.
  std::size_t mSentParts = 0;
  bool mRecording = false;
  // The first lease among the holds ends then.
  TimePoint mHeldUntil = TimePoint::max();
  bool mCommitted = false;
};

struct LiveRequest
{
  protocol::RequestSpec mSpec;
  // The order of arrival under this owner.
  std::uint64_t mSerial = 0;
  TimePoint mSubmitted;
  std::vector<TaskSlot> mSlots;
  std::vector<Waiter> mWaiters;
  Trail mTrail;

  // What the journal holds of it for sure.
  bool mAcceptedDurable = false;
  bool mCancelDurable = false;
  std::map<std::uint32_t, DispatchedTask> mDispatchedDurable;

  // Set once: the outcome whose Finished record is on its way.
  std::optional<protocol::RequestStatus> mFinished;
  bool mCancelled = false;
  bool mDeadlinePassed = false;
  bool mRecovered = false;
  bool mStartSeen = false;
  // An attempt that is over started, or may have: "not run" is untrue.
  bool mMayHaveRun = false;
  // The gang is being withdrawn; it is tried again or ended when all is over.
  bool mGangReleasing = false;
  std::optional<GangHold> mHold;
  std::uint16_t mGangTries = 0;
  std::uint32_t mBackoffs = 0;
  std::uint32_t mSlotsDone = 0;
  // Hosts that attempts failed on, the newest last.
  std::vector<WorkerId> mAvoid;
  // Shards whose placer said that no host of theirs could ever hold it.
  std::vector<ShardId> mNeverThere;

  TimePoint mResendAt = TimePoint::max();
  TimePoint mDispatchAt = TimePoint::max();
  TimePoint mDeadlineAt = TimePoint::max();
  // The key under which it stands in the due queue.
  TimePoint mDue = TimePoint::max();

  bool IsGang() const { return mSpec.mStartTogether && mSpec.mTaskCount > 1; }
};

} // namespace oriolevane::coordination::internal
