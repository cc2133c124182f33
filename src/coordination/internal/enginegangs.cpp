#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "coordination/internal/engine.h"

namespace oriolevane::coordination::internal {

namespace {

using protocol::TaskState;

constexpr std::chrono::milliseconds kNoRoomRetry{ 500 };
// A commit that leaves later than this before the first lease ends could reach
// some shards in time and others not.
constexpr int kCommitMarginOfLease = 4;

} // namespace

// All tasks of a gang share their attempt, and all are waiting when it is
// dispatched.
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
  std::vector<GangPart> parts = mRouter.PlanGang(
    aRequest.mSpec.mPerTask, aRequest.mSpec.mTaskCount, aRequest.mNeverThere);
  if (parts.empty() ||
      (parts.size() > 1 && mGangHolds >= mOptions.mMostGangHolds)) {
    const Duration wait =
      Backoff(kNoRoomRetry, kNoRoomRetry, 1, mRandom) + kNoRoomRetry;
    for (TaskSlot& slot : aRequest.mSlots) {
      slot.mNotBefore = mNow + wait;
    }
    return;
  }
  for (TaskSlot& slot : aRequest.mSlots) {
    slot.mAttempt = NextAttempt(slot);
    slot.mSends = 0;
  }
  if (parts.size() > 1) {
    ++mGangHolds;
    aRequest.mHold = GangHold{ .mParts = std::move(parts) };
    SendHoldPart(aRequest);
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

void
Engine::SendHoldPart(LiveRequest& aRequest)
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
  Note(*request, TrailEvent::Held, fmt::format("shard {}", shard));
  if (hold.mSentParts < hold.mParts.size()) {
    SendHoldPart(*request);
  } else {
    OnAllHeld(*request);
  }
}

void
Engine::OnAllHeld(LiveRequest& aRequest)
{
  if (!aRequest.mSpec.mNeverRepeat) {
    CommitHolds(aRequest);
    return;
  }
  aRequest.mHold->mRecording = true;
  DispatchedRecord record{ .mId = aRequest.mSpec.mId };
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    const TaskSlot& slot = aRequest.mSlots[index];
    record.mTasks.push_back(
      { .mIndex = index, .mAttempt = slot.mAttempt, .mShard = slot.mShard });
  }
  Append(std::move(record));
}

void
Engine::CommitHolds(LiveRequest& aRequest)
{
  GangHold& hold = *aRequest.mHold;
  if (aRequest.mGangReleasing) {
    return;
  }
  const Duration margin = mOptions.mHoldLease / kCommitMarginOfLease;
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
  Note(aRequest, TrailEvent::HoldsCommitted, {});
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
  ResendBy(aRequest);
}

// One task cannot be had, or ended badly: the others are withdrawn, so that no
// part of a gang runs on alone or keeps capacity from other gangs.
void
Engine::ReleaseGang(LiveRequest& aRequest)
{
  if (aRequest.mGangReleasing) {
    return;
  }
  Note(aRequest, TrailEvent::GangReleased, {});
  WithdrawSlots(aRequest);
}

void
Engine::EndHold(LiveRequest& aRequest)
{
  if (aRequest.mHold) {
    aRequest.mHold.reset();
    --mGangHolds;
  }
}

// Every task of the attempt is over. True when the gang is tried again as a
// whole, false when it has its outcome.
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
  bool again = !aRequest.mCancelled && !aRequest.mDeadlinePassed &&
               !NeverRunnableAnywhere(aRequest);
  if (started && !service) {
    ++aRequest.mGangTries;
    again = again && !succeeded && !aRequest.mSpec.mNeverRepeat &&
            aRequest.mGangTries < retry.mMaxAttempts &&
            mBudgets[aRequest.mSpec.mWorkload].TrySpend(retry);
  }
  aRequest.mGangReleasing = false;
  if (!again) {
    return false;
  }
  aRequest.mMayHaveRun = aRequest.mMayHaveRun || started;
  aRequest.mSlotsDone = 0;
  const Duration wait = NextBackoff(aRequest);
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    TaskSlot& slot = aRequest.mSlots[index];
    SendAck(aRequest, index);
    slot.mPhase = SlotPhase::Waiting;
    slot.mCancelWanted = false;
    slot.mState = TaskState::Queued;
    slot.mNotBefore = mNow + wait;
    slot.mAnswer.clear();
  }
  Note(aRequest, TrailEvent::RetryPlanned, "the whole gang");
  PlanDispatchTime(aRequest);
  return true;
}

} // namespace oriolevane::coordination::internal
