#include <algorithm>
#include <map>
#include <utility>

#include <fmt/format.h>

#include "coordination/internal/engine.h"

namespace oriolevane::coordination::internal {

namespace {

constexpr std::chrono::milliseconds kNoShardRetry{ 250 };
// Attempts count from one under each epoch; the epoch in the upper bits keeps
// the attempts of earlier owners, which are not recorded, apart.
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

// Sends what is neither out nor held back by a backoff. A request whose promise
// needs a record waits for it.
void
Engine::Dispatch(LiveRequest& aRequest)
{
  const bool needsRecord =
    aRequest.mSpec.mNeverRepeat || !aRequest.mSpec.mCallerWaits;
  if (!mServing || aRequest.mFinished || aRequest.mCancelled ||
      aRequest.mDeadlinePassed || (needsRecord && !aRequest.mAcceptedDurable)) {
    return;
  }
  if (aRequest.IsGang()) {
    DispatchGang(aRequest);
    PlanDispatchTime(aRequest);
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
  PlanDispatchTime(aRequest);
}

// Neighbours that share the attempt and the shard to avoid travel together.
std::vector<Placement>
Engine::PlanPlacements(LiveRequest& aRequest)
{
  std::vector<Placement> placements;
  std::vector<std::uint32_t> chunk;
  const auto flush = [&] {
    if (!chunk.empty()) {
      if (auto placement = Place(aRequest, std::exchange(chunk, {}))) {
        placements.push_back(std::move(*placement));
      }
    }
  };
  const auto alike = [](const TaskSlot& aLeft, const TaskSlot& aRight) {
    return aLeft.mDispatches == aRight.mDispatches &&
           (aLeft.mAttempt == 0 || aLeft.mShard == aRight.mShard);
  };
  const std::size_t most = IsSpread(aRequest) ? 1 : mOptions.mTasksPerMessage;
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    const TaskSlot& slot = aRequest.mSlots[index];
    if (slot.mPhase != SlotPhase::Waiting || slot.mNotBefore > mNow) {
      continue;
    }
    if (chunk.size() >= most ||
        (!chunk.empty() && !alike(aRequest.mSlots[chunk.front()], slot))) {
      flush();
    }
    chunk.push_back(index);
  }
  flush();
  return placements;
}

// A shard is a set of racks, so tasks in different shards are on different
// racks; within a shard its placer spreads them.
bool
Engine::IsSpread(const LiveRequest& aRequest) const
{
  return aRequest.mSlots.size() > 1 &&
         PolicyOf(aRequest.mSpec.mWorkload).mSpread != policy::Spread::None;
}

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
    std::vector<ShardId> taken = aRequest.mNeverThere;
    for (const TaskSlot& slot : aRequest.mSlots) {
      if (slot.mAttempt != 0 && &slot != &aFirst) {
        taken.push_back(slot.mShard);
      }
    }
    shard = pick(taken);
  }
  return shard ? shard : pick(aRequest.mNeverThere);
}

std::optional<Placement>
Engine::Place(LiveRequest& aRequest, std::vector<std::uint32_t> aIndexes)
{
  const std::optional<ShardId> shard =
    PickShard(aRequest,
              aRequest.mSlots[aIndexes.front()],
              static_cast<std::uint32_t>(aIndexes.size()));
  if (!shard) {
    for (const std::uint32_t index : aIndexes) {
      aRequest.mSlots[index].mNotBefore = mNow + kNoShardRetry;
    }
    return std::nullopt;
  }
  Placement placement{ .mShard = *shard };
  for (const std::uint32_t index : aIndexes) {
    TaskSlot& slot = aRequest.mSlots[index];
    slot.mAttempt = NextAttempt(slot);
    placement.mAttempt = slot.mAttempt;
    slot.mShard = *shard;
    slot.mSends = 0;
  }
  placement.mIndexes = std::move(aIndexes);
  return placement;
}

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

// The tasks may be sent now, but for those that were withdrawn meanwhile.
void
Engine::OnDispatchedDurable(LiveRequest& aRequest,
                            const std::vector<DispatchedTask>& aTasks)
{
  std::map<ShardAttempt, Placement> placements;
  for (const DispatchedTask& task : aTasks) {
    aRequest.mDispatchedDurable.insert_or_assign(task.mIndex, task);
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
  if (aRequest.mHold && aRequest.mHold->mRecording) {
    aRequest.mHold->mRecording = false;
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
    slot.mSends = 1;
  }
  Note(aRequest,
       TrailEvent::Dispatched,
       fmt::format("{} tasks to shard {}, attempt {}",
                   aPlacement.mIndexes.size(),
                   aPlacement.mShard,
                   aPlacement.mAttempt));
  Send(aPlacement.mShard, PlaceMessage(aRequest, aPlacement));
  ResendBy(aRequest);
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
Engine::PlanDispatchTime(LiveRequest& aRequest)
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

// Repeats what has no answer yet. Nothing is repeated to a later epoch of a
// placer: what it knows is asked for first.
void
Engine::Resend(LiveRequest& aRequest)
{
  std::map<ShardAttempt, Placement> unanswered;
  bool outstanding = false;
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    TaskSlot& slot = aRequest.mSlots[index];
    outstanding = outstanding || slot.mPhase == SlotPhase::Sent ||
                  (slot.mCancelWanted && slot.mPhase != SlotPhase::Done);
    const bool same = slot.mPlacerEpoch == mRouter.View(slot.mShard).mEpoch;
    if (slot.mPhase != SlotPhase::Sent || slot.mCancelWanted || !same) {
      continue;
    }
    slot.mSends = static_cast<std::uint8_t>(std::min(slot.mSends + 1, 255));
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
    ResendBy(aRequest);
  }
}

void
Engine::SendCancels(LiveRequest& aRequest)
{
  std::map<ShardId, std::vector<protocol::TaskKey>> byShard;
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    const TaskSlot& slot = aRequest.mSlots[index];
    const bool out = slot.mPhase == SlotPhase::Sent ||
                     slot.mPhase == SlotPhase::Held ||
                     slot.mPhase == SlotPhase::Out;
    if (slot.mCancelWanted && out &&
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
    ResendBy(aRequest);
  }
}

void
Engine::ResendBy(LiveRequest& aRequest)
{
  aRequest.mResendAt =
    std::min(aRequest.mResendAt, mNow + mOptions.mResendAfter);
  mRequests.Reschedule(aRequest);
}

void
Engine::SendAck(const LiveRequest& aRequest, std::uint32_t aIndex)
{
  const TaskSlot& slot = aRequest.mSlots[aIndex];
  if (slot.mSends > 0) {
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
           .mSequence = ++mSequences[aShard.mValue] };
}

} // namespace oriolevane::coordination::internal
