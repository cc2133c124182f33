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
  // The final outcome of the request.
  Outcome,
  // The Accepted record becoming durable.
  Acceptance,
  // The Cancelled record becoming durable.
  Cancellation
};

// A call that has not been replied to. mWaitFor says what the reply waits for.
struct Waiter
{
  std::uint32_t mOrigin = 0;
  std::uint64_t mCall = 0;
  WaitFor mWaitFor = WaitFor::Outcome;
  bool mExplain = false;
};

// The tasks of a gang that one shard holds.
struct GangPart
{
  ShardId mShard;
  std::vector<std::uint32_t> mIndexes;
  bool mHeld = false;
};

// The reservation of a gang that spans several shards. The shards are asked one
// after the other, in ascending order.
struct GangHold
{
  std::vector<GangPart> mParts;
  // The number of parts that have been sent to their shards.
  std::size_t mSentParts = 0;
  bool mRecordPending = false;
  // The earliest end of the leases of the parts.
  TimePoint mHeldUntil = TimePoint::max();
  bool mCommitted = false;
};

// The state of one request, from its acceptance until its outcome is durable.
struct LiveRequest
{
  protocol::RequestSpec mSpec;
  // The position in the order of arrival under this owner.
  std::uint64_t mArrivalNumber = 0;
  TimePoint mSubmitted;
  std::vector<TaskSlot> mSlots;
  std::vector<Waiter> mWaiters;
  Trail mTrail;

  // The state that is known to be durable in the journal.
  bool mAcceptedDurable = false;
  bool mCancelDurable = false;
  std::map<std::uint32_t, DispatchedTask> mDurableDispatches;

  // The final status, set once when its Finished record goes to the journal.
  std::optional<protocol::RequestStatus> mFinalStatus;
  bool mCancelled = false;
  bool mDeadlinePassed = false;
  bool mRecovered = false;
  bool mStartSeen = false;
  // An ended attempt started or may have started, so the outcome can't be "not
  // run".
  bool mMayHaveRun = false;
  // The gang is being released. Once all its attempts have ended, the gang is
  // retried or ended.
  bool mGangReleasing = false;
  std::optional<GangHold> mHold;
  std::uint16_t mGangAttempts = 0;
  std::uint32_t mBackoffCount = 0;
  std::uint32_t mSlotsDone = 0;
  // The hosts that attempts failed on, the most recent last.
  std::vector<WorkerId> mAvoid;
  // The shards whose placer reported that none of their hosts could ever hold a
  // task of this request.
  std::vector<ShardId> mInfeasibleShards;

  TimePoint mResendAt = TimePoint::max();
  TimePoint mDispatchAt = TimePoint::max();
  TimePoint mDeadlineAt = TimePoint::max();
  // The time under which the request stands in the due queue.
  TimePoint mDue = TimePoint::max();

  bool IsGang() const { return mSpec.mStartTogether && mSpec.mTaskCount > 1; }
};

} // namespace oriolevane::coordination::internal
