// Dispatch of waiting tasks to shards, and resends of unanswered messages.
#include <algorithm>
#include <map>
#include <utility>

#include <fmt/format.h>

#include "coordination/internal/engine.h"

namespace oriolevane::coordination::internal {

namespace {

constexpr std::chrono::milliseconds kNoShardRetryDelay{ 250 };
// Attempts are numbered from one under each epoch. The epoch in the upper bits
// tells them from the attempts of earlier owners, which are not recorded.
constexpr std::uint32_t kAttemptBits = 16;
constexpr std::uint32_t kAttemptMask = (1U << kAttemptBits) - 1;

using ShardAttempt = std::pair<ShardId, std::uint32_t>;

} // namespace

std::uint32_t
Engine::NextAttempt(TaskSlot& aSlot) const
{
  ++aSlot.mDispatches;
  const std::uint64_t earlierEpochs =
    std::max<std::uint64_t>(mOptions.mEpoch.mValue, 1) - 1;
  return (static_cast<std::uint32_t>(earlierEpochs & kAttemptMask)
          << kAttemptBits) |
         aSlot.mDispatches;
}

// Sends the waiting tasks whose backoff is over. A request that must be durable
// before it starts is not sent before its Accepted record is durable.
void
Engine::Dispatch(LiveRequest& aRequest)
{
  const bool needsRecord =
    aRequest.mSpec.mNeverRepeat || !aRequest.mSpec.mCallerWaits;
  if (!mServing || aRequest.mFinalStatus || aRequest.mCancelled ||
      aRequest.mDeadlinePassed || (needsRecord && !aRequest.mAcceptedDurable)) {
    return;
  }
  if (aRequest.IsGang()) {
    DispatchGang(aRequest);
    ScheduleDispatch(aRequest);
    return;
  }
  const std::vector<Placement> placements = PlanPlacements(aRequest);
  if (aRequest.mSpec.mNeverRepeat && !placements.empty()) {
    Append(DispatchedRecord{ .mId = aRequest.mSpec.mId,
                             .mTasks = BeginRecording(aRequest, placements) });
  } else {
    for (const Placement& placement : placements) {
      SendPlacement(aRequest, placement);
    }
  }
  ScheduleDispatch(aRequest);
}

// Groups the waiting tasks into messages. Consecutive tasks that have the same
// number of dispatches and the same last shard share a message.
std::vector<Placement>
Engine::PlanPlacements(LiveRequest& aRequest)
{
  std::vector<Placement> placements;
  std::vector<std::uint32_t> chunk;
  const auto flush = [&] {
    if (!chunk.empty()) {
      if (auto placement = AssignToShard(aRequest, std::exchange(chunk, {}))) {
        placements.push_back(std::move(*placement));
      }
    }
  };
  const auto canShareMessage = [](const TaskSlot& aLeft,
                                  const TaskSlot& aRight) {
    return aLeft.mDispatches == aRight.mDispatches &&
           (aLeft.mAttempt == 0 || aLeft.mShard == aRight.mShard);
  };
  const std::size_t maxTasks =
    IsSpread(aRequest) ? 1 : mOptions.mMaxTasksPerMessage;
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    const TaskSlot& slot = aRequest.mSlots[index];
    if (slot.mPhase != SlotPhase::Waiting || slot.mNotBefore > mNow) {
      continue;
    }
    if (chunk.size() >= maxTasks ||
        (!chunk.empty() &&
         !canShareMessage(aRequest.mSlots[chunk.front()], slot))) {
      flush();
    }
    chunk.push_back(index);
  }
  flush();
  return placements;
}

// Returns true when the tasks are to be spread over shards. A shard is a set of
// racks, so tasks in different shards are on different racks; within a shard
// the placer spreads them.
bool
Engine::IsSpread(const LiveRequest& aRequest) const
{
  return aRequest.mSlots.size() > 1 &&
         PolicyOf(aRequest.mSpec.mWorkload).mSpread != policy::Spread::None;
}

// Picks a shard for tasks that are like aFirst, where possible another one than
// that of its last attempt. Tasks that are to be spread avoid the shards of the
// request's other tasks as long as another shard is eligible.
std::optional<ShardId>
Engine::PickShard(const LiveRequest& aRequest,
                  const TaskSlot& aFirst,
                  std::uint32_t aCount)
{
  const auto last =
    aFirst.mAttempt == 0 ? std::nullopt : std::optional(aFirst.mShard);
  const auto pick = [&](const std::vector<ShardId>& aNever) {
    return mRouter.Pick(aRequest.mSpec.mPerTask, aCount, last, aNever, mRandom);
  };
  std::optional<ShardId> shard;
  if (IsSpread(aRequest)) {
    std::vector<ShardId> excluded = aRequest.mInfeasibleShards;
    for (const TaskSlot& slot : aRequest.mSlots) {
      if (slot.mAttempt != 0 && &slot != &aFirst) {
        excluded.push_back(slot.mShard);
      }
    }
    shard = pick(excluded);
  }
  return shard ? shard : pick(aRequest.mInfeasibleShards);
}

// Starts a new attempt of these tasks at one shard. Returns nothing and delays
// the tasks when no shard is eligible now.
std::optional<Placement>
Engine::AssignToShard(LiveRequest& aRequest,
                      std::vector<std::uint32_t> aIndexes)
{
  const std::optional<ShardId> shard =
    PickShard(aRequest,
              aRequest.mSlots[aIndexes.front()],
              static_cast<std::uint32_t>(aIndexes.size()));
  if (!shard) {
    for (const std::uint32_t index : aIndexes) {
      aRequest.mSlots[index].mNotBefore = mNow + kNoShardRetryDelay;
    }
    return std::nullopt;
  }
  Placement placement{ .mShard = *shard };
  for (const std::uint32_t index : aIndexes) {
    TaskSlot& slot = aRequest.mSlots[index];
    slot.mAttempt = NextAttempt(slot);
    placement.mAttempt = slot.mAttempt;
    slot.mShard = *shard;
    slot.mPlacementsSent = 0;
  }
  placement.mIndexes = std::move(aIndexes);
  return placement;
}

// Marks the tasks as waiting for their Dispatched record and returns its
// content.
std::vector<DispatchedTask>
Engine::BeginRecording(LiveRequest& aRequest,
                       const std::vector<Placement>& aPlacements)
{
  std::vector<DispatchedTask> tasks;
  for (const Placement& placement : aPlacements) {
    for (const std::uint32_t index : placement.mIndexes) {
      aRequest.mSlots[index].mPhase = SlotPhase::Recording;
      tasks.push_back({ .mIndex = index,
                        .mAttempt = placement.mAttempt,
                        .mShard = placement.mShard });
    }
  }
  return tasks;
}

// Sends the tasks of a durable Dispatched record, except those that were
// cancelled in the meantime.
void
Engine::OnDispatchedDurable(LiveRequest& aRequest,
                            const std::vector<DispatchedTask>& aTasks)
{
  std::map<ShardAttempt, Placement> placements;
  for (const DispatchedTask& task : aTasks) {
    aRequest.mDurableDispatches.insert_or_assign(task.mIndex, task);
    const TaskSlot& slot = aRequest.mSlots[task.mIndex];
    if (slot.mPhase == SlotPhase::Recording && slot.mAttempt == task.mAttempt) {
      Placement& placement = placements[{ task.mShard, task.mAttempt }];
      placement.mShard = task.mShard;
      placement.mAttempt = task.mAttempt;
      placement.mIndexes.push_back(task.mIndex);
    }
  }
  for (const auto& [key, placement] : placements) {
    SendPlacement(aRequest, placement);
  }
  if (aRequest.mHold && aRequest.mHold->mRecordPending) {
    aRequest.mHold->mRecordPending = false;
    CommitHolds(aRequest);
  }
}

void
Engine::SendPlacement(LiveRequest& aRequest, const Placement& aPlacement)
{
  const Epoch epoch = mRouter.View(aPlacement.mShard).mEpoch;
  for (const std::uint32_t index : aPlacement.mIndexes) {
    TaskSlot& slot = aRequest.mSlots[index];
    slot.mPhase = SlotPhase::Sent;
    slot.mState = protocol::TaskState::Queued;
    slot.mShard = aPlacement.mShard;
    slot.mPlacerEpoch = epoch;
    slot.mPlacementsSent = 1;
  }
  AddTrailEntry(aRequest,
                TrailEvent::Dispatched,
                fmt::format("{} tasks to shard {}, attempt {}",
                            aPlacement.mIndexes.size(),
                            aPlacement.mShard,
                            aPlacement.mAttempt));
  Send(aPlacement.mShard, PlaceMessage(aRequest, aPlacement));
  ScheduleResend(aRequest);
}

protocol::PlaceTasks
Engine::PlaceMessage(const LiveRequest& aRequest, const Placement& aPlacement)
{
  const protocol::RequestSpec& spec = aRequest.mSpec;
  protocol::PlaceTasks message{
    .mRequest = spec.mId,
    .mIndexes = aPlacement.mIndexes,
    .mAttempt = aPlacement.mAttempt,
    .mShardEpoch = mRouter.View(aPlacement.mShard).mEpoch,
    .mTogether = aRequest.IsGang(),
    .mHold = aRequest.mHold.has_value(),
    .mTeam = spec.mTeam,
    .mWorkload = spec.mWorkload,
    .mUrgency = spec.mUrgency,
    .mNeverRepeat = spec.mNeverRepeat,
    .mService = spec.mService,
    .mPerTask = spec.mPerTask,
    .mExpectedRunTime = spec.mDeclaredRunTime,
    .mAge = Age(aRequest),
    .mAvoid = aRequest.mAvoid,
    .mPayload = spec.mPayload,
  };
  if (message.mHold) {
    message.mHoldFor = mOptions.mHoldLease;
  }
  if (aRequest.mDeadlineAt != TimePoint::max()) {
    message.mTimeToDeadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        aRequest.mDeadlineAt - mNow);
  }
  return message;
}

void
Engine::ScheduleDispatch(LiveRequest& aRequest)
{
  aRequest.mDispatchAt = TimePoint::max();
  for (const TaskSlot& slot : aRequest.mSlots) {
    if (slot.mPhase == SlotPhase::Waiting) {
      aRequest.mDispatchAt = std::min(aRequest.mDispatchAt, slot.mNotBefore);
    }
  }
  if (aRequest.mHold) {
    aRequest.mDispatchAt = TimePoint::max();
  }
  mRequests.Reschedule(aRequest);
}

// Repeats the messages that have no answer yet. Nothing is repeated to a placer
// of a later epoch: it is asked first which attempts it holds.
void
Engine::Resend(LiveRequest& aRequest)
{
  std::map<ShardAttempt, Placement> unanswered;
  bool outstanding = false;
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    TaskSlot& slot = aRequest.mSlots[index];
    outstanding = outstanding || slot.mPhase == SlotPhase::Sent ||
                  (slot.mCancelRequested && slot.mPhase != SlotPhase::Done);
    const bool sameEpoch =
      slot.mPlacerEpoch == mRouter.View(slot.mShard).mEpoch;
    if (slot.mPhase != SlotPhase::Sent || slot.mCancelRequested || !sameEpoch) {
      continue;
    }
    slot.mPlacementsSent =
      static_cast<std::uint8_t>(std::min(slot.mPlacementsSent + 1, 255));
    Placement& placement = unanswered[{ slot.mShard, slot.mAttempt }];
    placement.mShard = slot.mShard;
    placement.mAttempt = slot.mAttempt;
    placement.mIndexes.push_back(index);
  }
  for (const auto& [key, placement] : unanswered) {
    Send(placement.mShard, PlaceMessage(aRequest, placement));
  }
  SendCancels(aRequest);
  if (aRequest.mHold && aRequest.mHold->mCommitted) {
    SendCommits(aRequest);
    outstanding = true;
  }
  if (outstanding) {
    ScheduleResend(aRequest);
  }
}

// Sends a cancellation for each attempt that is to be cancelled, except to a
// placer of a later epoch than the one that has the attempt.
void
Engine::SendCancels(LiveRequest& aRequest)
{
  std::map<ShardId, std::vector<protocol::TaskKey>> byShard;
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    const TaskSlot& slot = aRequest.mSlots[index];
    const bool withPlacer = slot.mPhase == SlotPhase::Sent ||
                            slot.mPhase == SlotPhase::Held ||
                            slot.mPhase == SlotPhase::Placed;
    if (slot.mCancelRequested && withPlacer &&
        slot.mPlacerEpoch == mRouter.View(slot.mShard).mEpoch) {
      byShard[slot.mShard].push_back({ .mRequest = aRequest.mSpec.mId,
                                       .mIndex = index,
                                       .mAttempt = slot.mAttempt });
    }
  }
  for (auto& [shard, tasks] : byShard) {
    Send(shard,
         protocol::CancelTasks{ .mShardEpoch = mRouter.View(shard).mEpoch,
                                .mTasks = std::move(tasks) });
    ScheduleResend(aRequest);
  }
}

void
Engine::ScheduleResend(LiveRequest& aRequest)
{
  aRequest.mResendAt =
    std::min(aRequest.mResendAt, mNow + mOptions.mResendInterval);
  mRequests.Reschedule(aRequest);
}

// Acknowledges the slot's attempt unless it was never sent.
void
Engine::SendAck(const LiveRequest& aRequest, std::uint32_t aIndex)
{
  const TaskSlot& slot = aRequest.mSlots[aIndex];
  if (slot.mPlacementsSent > 0) {
    SendAck({ .mRequest = aRequest.mSpec.mId,
              .mIndex = aIndex,
              .mAttempt = slot.mAttempt },
            slot.mShard);
  }
}

void
Engine::SendAck(const protocol::TaskKey& aTask, ShardId aShard)
{
  Send(aShard, protocol::UpdateAck{ .mTask = aTask });
}

protocol::Route
Engine::NextRoute(ShardId aShard)
{
  return { .mPartition = mOptions.mPartition,
           .mShard = aShard,
           .mSenderEpoch = mOptions.mEpoch,
           .mSequence = ++mShardSequences[aShard.mValue] };
}

} // namespace oriolevane::coordination::internal
