// Gangs: requests whose tasks start together or not at all.
#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "coordination/internal/engine.h"

namespace oriolevane::coordination::internal {

namespace {

using protocol::TaskState;

constexpr std::chrono::milliseconds kNoCapacityRetryDelay{ 500 };
// Holds are committed at least this fraction (one over the divisor) of the hold
// lease before the first lease ends. A later commit could reach some shards in
// time and others too late.
constexpr int kCommitMarginDivisor = 4;

} // namespace

// Dispatches all tasks of a gang under one attempt number, and only when all of
// them are waiting. A gang that needs several shards holds capacity in each of
// them first.
void
Engine::DispatchGang(LiveRequest& aRequest)
{
  const bool allWait = std::all_of(
    aRequest.mSlots.begin(), aRequest.mSlots.end(), [&](const TaskSlot& aSlot) {
      return aSlot.mPhase == SlotPhase::Waiting && aSlot.mNotBefore <= mNow;
    });
  if (!allWait || aRequest.mHold) {
    return;
  }
  std::vector<GangPart> parts = mRouter.PlanGang(aRequest.mSpec.mPerTask,
                                                 aRequest.mSpec.mTaskCount,
                                                 aRequest.mInfeasibleShards);
  if (parts.empty() ||
      (parts.size() > 1 && mGangHolds >= mOptions.mMaxGangHolds)) {
    const Duration wait =
      Backoff(kNoCapacityRetryDelay, kNoCapacityRetryDelay, 1, mRandom) +
      kNoCapacityRetryDelay;
    for (TaskSlot& slot : aRequest.mSlots) {
      slot.mNotBefore = mNow + wait;
    }
    return;
  }
  for (TaskSlot& slot : aRequest.mSlots) {
    slot.mAttempt = NextAttempt(slot);
    slot.mPlacementsSent = 0;
  }
  if (parts.size() > 1) {
    ++mGangHolds;
    aRequest.mHold = GangHold{ .mParts = std::move(parts) };
    SendNextHold(aRequest);
    return;
  }
  const Placement placement{ .mShard = parts.front().mShard,
                             .mAttempt = aRequest.mSlots.front().mAttempt,
                             .mIndexes = std::move(parts.front().mIndexes) };
  if (aRequest.mSpec.mNeverRepeat) {
    Append(
      DispatchedRecord{ .mId = aRequest.mSpec.mId,
                        .mTasks = BeginRecording(aRequest, { placement }) });
  } else {
    SendPlacement(aRequest, placement);
  }
}

// Asks the next shard in order to hold its part of the gang.
void
Engine::SendNextHold(LiveRequest& aRequest)
{
  GangHold& hold = *aRequest.mHold;
  const GangPart& part = hold.mParts[hold.mSentParts++];
  SendPlacement(aRequest,
                { .mShard = part.mShard,
                  .mAttempt = aRequest.mSlots.front().mAttempt,
                  .mIndexes = part.mIndexes });
}

void
Engine::On(const protocol::TasksHeld& aEvent)
{
  const ShardId shard = aEvent.mRoute.mShard;
  if (!ObserveEpoch(shard, aEvent.mRoute.mSenderEpoch)) {
    return;
  }
  LiveRequest* request = mRequests.Find(aEvent.mRequest);
  if (request == nullptr || !request->mHold || request->mGangReleasing ||
      request->mSlots.front().mAttempt != aEvent.mAttempt) {
    return;
  }
  GangHold& hold = *request->mHold;
  GangPart& part = hold.mParts[hold.mSentParts - 1];
  if (part.mShard != shard || part.mHeld ||
      part.mIndexes.size() != aEvent.mIndexes.size()) {
    return;
  }
  for (const std::uint32_t index : part.mIndexes) {
    if (request->mSlots[index].mPlacerEpoch != aEvent.mRoute.mSenderEpoch) {
      return;
    }
  }
  part.mHeld = true;
  hold.mHeldUntil = std::min(hold.mHeldUntil, mNow + aEvent.mHeldFor);
  for (const std::uint32_t index : part.mIndexes) {
    request->mSlots[index].mPhase = SlotPhase::Held;
  }
  AddTrailEntry(*request, TrailEvent::Held, fmt::format("shard {}", shard));
  if (hold.mSentParts < hold.mParts.size()) {
    SendNextHold(*request);
  } else {
    OnAllHeld(*request);
  }
}

// Commits the holds; a never-repeat gang records its tasks before that.
void
Engine::OnAllHeld(LiveRequest& aRequest)
{
  if (!aRequest.mSpec.mNeverRepeat) {
    CommitHolds(aRequest);
    return;
  }
  aRequest.mHold->mRecordPending = true;
  DispatchedRecord record{ .mId = aRequest.mSpec.mId };
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    const TaskSlot& slot = aRequest.mSlots[index];
    record.mTasks.push_back(
      { .mIndex = index, .mAttempt = slot.mAttempt, .mShard = slot.mShard });
  }
  Append(std::move(record));
}

// Commits the holds of all shards, or releases the gang when a lease ends too
// soon or a shard has a new placer.
void
Engine::CommitHolds(LiveRequest& aRequest)
{
  GangHold& hold = *aRequest.mHold;
  if (aRequest.mGangReleasing) {
    return;
  }
  const Duration margin = mOptions.mHoldLease / kCommitMarginDivisor;
  const bool sameOwners = std::all_of(
    aRequest.mSlots.begin(),
    aRequest.mSlots.end(),
    [this](const TaskSlot& aSlot) {
      return aSlot.mPlacerEpoch == mRouter.View(aSlot.mShard).mEpoch;
    });
  if (mNow + margin > hold.mHeldUntil || !sameOwners) {
    ReleaseGang(aRequest);
    return;
  }
  hold.mCommitted = true;
  AddTrailEntry(aRequest, TrailEvent::HoldsCommitted, {});
  SendCommits(aRequest);
}

void
Engine::SendCommits(LiveRequest& aRequest)
{
  for (const GangPart& part : aRequest.mHold->mParts) {
    const bool unanswered = std::any_of(
      part.mIndexes.begin(), part.mIndexes.end(), [&](std::uint32_t aIndex) {
        return aRequest.mSlots[aIndex].mPhase == SlotPhase::Held;
      });
    const TaskSlot& first = aRequest.mSlots[part.mIndexes.front()];
    if (unanswered && !aRequest.mGangReleasing &&
        first.mPlacerEpoch == mRouter.View(part.mShard).mEpoch) {
      Send(part.mShard,
           protocol::CommitHold{ .mRequest = aRequest.mSpec.mId,
                                 .mAttempt = first.mAttempt });
    }
  }
  ScheduleResend(aRequest);
}

// Cancels all tasks of a gang when one could not be placed or did not succeed,
// so that no part of a gang runs on alone or keeps capacity from other gangs.
void
Engine::ReleaseGang(LiveRequest& aRequest)
{
  if (aRequest.mGangReleasing) {
    return;
  }
  AddTrailEntry(aRequest, TrailEvent::GangReleased, {});
  CancelOpenTasks(aRequest);
}

void
Engine::EndHold(LiveRequest& aRequest)
{
  if (aRequest.mHold) {
    aRequest.mHold.reset();
    --mGangHolds;
  }
}

// Decides on a retry when every task of the attempt has ended. Returns true
// when the whole gang is tried again, false when it has its outcome.
bool
Engine::RetryGang(LiveRequest& aRequest)
{
  EndHold(aRequest);
  const policy::RetryPolicy& retry = PolicyOf(aRequest.mSpec.mWorkload).mRetry;
  const bool service = aRequest.mSpec.mService;
  const bool started = std::any_of(
    aRequest.mSlots.begin(), aRequest.mSlots.end(), [](const TaskSlot& aSlot) {
      return aSlot.mState != TaskState::NotStarted;
    });
  const bool succeeded = std::all_of(
    aRequest.mSlots.begin(), aRequest.mSlots.end(), [](const TaskSlot& aSlot) {
      return aSlot.mState == TaskState::Succeeded;
    });
  bool retries = !aRequest.mCancelled && !aRequest.mDeadlinePassed &&
                 !IsNeverRunnable(aRequest);
  if (started && !service) {
    ++aRequest.mGangAttempts;
    retries = retries && !succeeded && !aRequest.mSpec.mNeverRepeat &&
              aRequest.mGangAttempts < retry.mMaxAttempts &&
              mRetryBudgets[aRequest.mSpec.mWorkload].TrySpend(retry);
  }
  aRequest.mGangReleasing = false;
  if (!retries) {
    return false;
  }
  aRequest.mMayHaveRun = aRequest.mMayHaveRun || started;
  aRequest.mSlotsDone = 0;
  const Duration wait = NextBackoff(aRequest);
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    TaskSlot& slot = aRequest.mSlots[index];
    SendAck(aRequest, index);
    slot.mPhase = SlotPhase::Waiting;
    slot.mCancelRequested = false;
    slot.mState = TaskState::Queued;
    slot.mNotBefore = mNow + wait;
    slot.mAnswer.clear();
  }
  AddTrailEntry(aRequest, TrailEvent::RetryPlanned, "the whole gang");
  ScheduleDispatch(aRequest);
  return true;
}

} // namespace oriolevane::coordination::internal
