// Placers' updates on attempts, retries and cancellation.
#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "coordination/internal/engine.h"

namespace oriolevane::coordination::internal {

namespace {

using protocol::TaskEndReason;
using protocol::TaskState;

constexpr std::size_t kMaxAvoidedWorkers = 8;
constexpr std::uint16_t kMaxDispatches = 0xffff;
// The backoff cap of a service's restarts is at least this long.
constexpr std::chrono::milliseconds kMinServiceBackoffCap{ 10'000 };

const char*
StateName(TaskState aState)
{
  switch (aState) {
    case TaskState::Succeeded:
      return "succeeded";
    case TaskState::Failed:
      return "failed";
    case TaskState::NotStarted:
      return "not-started";
    case TaskState::Lost:
      return "lost";
    default:
      return "not-ended";
  }
}

} // namespace

void
Engine::On(const protocol::TaskUpdate& aEvent)
{
  if (!ObserveEpoch(aEvent.mRoute.mShard, aEvent.mRoute.mSenderEpoch)) {
    return;
  }
  LiveRequest* request = mRequests.Find(aEvent.mTask.mRequest);
  if (request == nullptr) {
    OnUnknownRequestUpdate(aEvent);
    return;
  }
  const std::uint32_t index = aEvent.mTask.mIndex;
  const bool final = IsFinal(aEvent.mState);
  if (index >= request->mSlots.size()) {
    return;
  }
  TaskSlot& slot = request->mSlots[index];
  if (aEvent.mTask.mAttempt != slot.mAttempt ||
      aEvent.mRoute.mShard != slot.mShard) {
    OnStaleUpdate(*request, aEvent);
    return;
  }
  // Final updates are repeated until acknowledged, so this one comes again
  // after recovery.
  if (!mServing && final) {
    return;
  }
  const bool withPlacer = slot.mPhase == SlotPhase::Sent ||
                          slot.mPhase == SlotPhase::Held ||
                          slot.mPhase == SlotPhase::Placed;
  if (!withPlacer) {
    return;
  }
  // Only the placer that the attempt was sent to knows that it never started. A
  // placer that refuses it as not the owner does so for one copy of the
  // message; another copy may have been accepted.
  const bool onlyCopy =
    slot.mPhase == SlotPhase::Sent && slot.mPlacementsSent == 1;
  if (aEvent.mState == TaskState::NotStarted &&
      (slot.mPlacerEpoch != aEvent.mRoute.mSenderEpoch ||
       (aEvent.mReason == TaskEndReason::NotOwner && !onlyCopy))) {
    return;
  }
  slot.mPlacerEpoch = aEvent.mRoute.mSenderEpoch;
  if (final) {
    EndAttempt(*request, aEvent);
  } else {
    OnProgress(*request, aEvent);
  }
  mRequests.Reschedule(*request);
}

// Handles an update for a request that is not live: final ones are
// acknowledged, other attempts are orphans unless the outcome is recorded.
void
Engine::OnUnknownRequestUpdate(const protocol::TaskUpdate& aUpdate)
{
  if (!mServing) {
    return;
  }
  if (IsFinal(aUpdate.mState)) {
    SendAck(aUpdate.mTask, aUpdate.mRoute.mShard);
    mOrphans.End(aUpdate.mTask, aUpdate.mState == TaskState::NotStarted, mNow);
  } else if (mOutcomes.Find(aUpdate.mTask.mRequest) == nullptr) {
    AddOrphan(
      aUpdate.mTask, aUpdate.mRoute.mShard, aUpdate.mRoute.mSenderEpoch);
  }
}

// Acknowledges final updates of earlier attempts: they have ended, since a
// later attempt exists. While a never-repeat task waits for its next Dispatched
// record there is no acknowledgement, so that the placer keeps the state of the
// last attempt.
void
Engine::OnStaleUpdate(const LiveRequest& aRequest,
                      const protocol::TaskUpdate& aUpdate)
{
  const TaskSlot& slot = aRequest.mSlots[aUpdate.mTask.mIndex];
  if (mServing && aUpdate.mTask.mAttempt < slot.mAttempt &&
      IsFinal(aUpdate.mState) && slot.mPhase != SlotPhase::Recording) {
    SendAck(aUpdate.mTask, aUpdate.mRoute.mShard);
  }
}

void
Engine::OnProgress(LiveRequest& aRequest, const protocol::TaskUpdate& aUpdate)
{
  TaskSlot& slot = aRequest.mSlots[aUpdate.mTask.mIndex];
  const bool started = aUpdate.mState == TaskState::Starting ||
                       aUpdate.mState == TaskState::Running ||
                       aUpdate.mState == TaskState::Unknown;
  if ((slot.mPhase == SlotPhase::Held || aRequest.mHold) && !started) {
    return;
  }
  // Updates may arrive out of order; an earlier state does not replace a later
  // one.
  const bool backwards = slot.mPhase == SlotPhase::Placed &&
                         aUpdate.mState < slot.mState &&
                         !(slot.mState == TaskState::Unknown && started);
  if (!backwards) {
    slot.mState = aUpdate.mState;
    slot.mWorker = aUpdate.mWorker;
  }
  slot.mPhase = SlotPhase::Placed;
  if (aUpdate.mState == TaskState::Running) {
    OnStarted(aRequest);
  }
  const bool allOut = std::all_of(
    aRequest.mSlots.begin(), aRequest.mSlots.end(), [](const TaskSlot& aSlot) {
      return aSlot.mPhase == SlotPhase::Placed ||
             aSlot.mPhase == SlotPhase::Done;
    });
  if (aRequest.mHold && allOut && !aRequest.mGangReleasing) {
    EndHold(aRequest);
  }
}

void
Engine::OnStarted(LiveRequest& aRequest)
{
  const protocol::RequestSpec& spec = aRequest.mSpec;
  if (!aRequest.mStartSeen) {
    aRequest.mStartSeen = true;
    AddTrailEntry(aRequest, TrailEvent::Running, {});
    if (!aRequest.mRecovered) {
      mActions.push_back(ObjectiveSample{ .mWorkload = spec.mWorkload,
                                          .mTeam = spec.mTeam,
                                          .mUrgency = spec.mUrgency,
                                          .mWaited = Age(aRequest) });
    }
  }
  if (!spec.mService || aRequest.mWaiters.empty()) {
    return;
  }
  const bool allRun = std::all_of(
    aRequest.mSlots.begin(), aRequest.mSlots.end(), [](const TaskSlot& aSlot) {
      return aSlot.mState == TaskState::Running;
    });
  if (allRun) {
    ReplyWaiters(aRequest, { WaitFor::Outcome }, StatusOf(aRequest, false));
  }
}

void
Engine::EndAttempt(LiveRequest& aRequest, const protocol::TaskUpdate& aUpdate)
{
  const std::uint32_t index = aUpdate.mTask.mIndex;
  TaskSlot& slot = aRequest.mSlots[index];
  slot.mWorker = aUpdate.mWorker;
  slot.mAnswer = aUpdate.mAnswer;
  if (aUpdate.mState != TaskState::NotStarted) {
    ++slot.mStartedAttempts;
    if (aUpdate.mState != TaskState::Lost) {
      OnStarted(aRequest);
    }
  }
  AddTrailEntry(aRequest,
                aUpdate.mState == TaskState::NotStarted ? TrailEvent::NotStarted
                                                        : TrailEvent::TaskEnded,
                fmt::format("task {} attempt {} {} reason {} on '{}'",
                            index,
                            aUpdate.mTask.mAttempt,
                            StateName(aUpdate.mState),
                            static_cast<int>(aUpdate.mReason),
                            aUpdate.mWorker));
  if (aUpdate.mReason == TaskEndReason::NeverRunnable) {
    std::erase(aRequest.mInfeasibleShards, aUpdate.mRoute.mShard);
    aRequest.mInfeasibleShards.push_back(aUpdate.mRoute.mShard);
  }
  if (aUpdate.mReason == TaskEndReason::DeadlinePassed) {
    aRequest.mDeadlinePassed = true;
    aRequest.mDeadlineAt = mNow;
  }
  if (!aRequest.IsGang() && ShouldRetry(aRequest, slot, aUpdate)) {
    ScheduleRetry(aRequest, index, aUpdate);
    return;
  }
  MarkSlotDone(aRequest, slot, aUpdate.mState);
  const bool endsGang =
    aUpdate.mState != TaskState::Succeeded || aRequest.mSpec.mService;
  if (aRequest.IsGang() && endsGang && !aRequest.mGangReleasing) {
    ReleaseGang(aRequest);
    return;
  }
  FinishIfDone(aRequest);
}

// Returns true when an ended task is to be tried again. After an attempt that
// never started or was preempted, the limit of attempts and the retry budget
// are not checked.
bool
Engine::ShouldRetry(LiveRequest& aRequest,
                    const TaskSlot& aSlot,
                    const protocol::TaskUpdate& aUpdate)
{
  if (aRequest.mCancelled || aRequest.mDeadlinePassed ||
      aSlot.mCancelRequested || aSlot.mDispatches == kMaxDispatches) {
    return false;
  }
  if (aRequest.mSpec.mService) {
    return !IsNeverRunnable(aRequest);
  }
  if (aUpdate.mState == TaskState::NotStarted) {
    return !IsNeverRunnable(aRequest);
  }
  if (aUpdate.mState == TaskState::Succeeded || aRequest.mSpec.mNeverRepeat) {
    return false;
  }
  if (aUpdate.mReason == TaskEndReason::Preempted) {
    return true;
  }
  const policy::RetryPolicy& retry = PolicyOf(aRequest.mSpec.mWorkload).mRetry;
  return aSlot.mStartedAttempts < retry.mMaxAttempts &&
         mRetryBudgets[aRequest.mSpec.mWorkload].TrySpend(retry);
}

void
Engine::ScheduleRetry(LiveRequest& aRequest,
                      std::uint32_t aIndex,
                      const protocol::TaskUpdate& aUpdate)
{
  TaskSlot& slot = aRequest.mSlots[aIndex];
  const bool started = aUpdate.mState != TaskState::NotStarted;
  aRequest.mMayHaveRun = aRequest.mMayHaveRun || started;
  if (!aUpdate.mWorker.Empty() && !aRequest.mSpec.mService) {
    std::vector<WorkerId>& avoid = aRequest.mAvoid;
    std::erase(avoid, aUpdate.mWorker);
    avoid.push_back(aUpdate.mWorker);
    if (avoid.size() > kMaxAvoidedWorkers) {
      avoid.erase(avoid.begin());
    }
  }
  if (!aRequest.mSpec.mNeverRepeat) {
    SendAck(aRequest, aIndex);
  }
  const Duration wait = std::max<Duration>(
    NextBackoff(aRequest),
    started
      ? Duration::zero()
      : Duration(aUpdate.mRetryAfter.value_or(std::chrono::milliseconds{ 0 })));
  slot.mPhase = SlotPhase::Waiting;
  slot.mState = TaskState::Queued;
  slot.mNotBefore = mNow + wait;
  slot.mAnswer.clear();
  AddTrailEntry(
    aRequest,
    TrailEvent::RetryPlanned,
    fmt::format(
      "task {} after {} ms",
      aIndex,
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count()));
  ScheduleDispatch(aRequest);
}

Duration
Engine::NextBackoff(LiveRequest& aRequest)
{
  const policy::RetryPolicy& retry = PolicyOf(aRequest.mSpec.mWorkload).mRetry;
  const std::chrono::milliseconds cap =
    aRequest.mSpec.mService ? std::max(retry.mBackoffCap, kMinServiceBackoffCap)
                            : retry.mBackoffCap;
  return Backoff(retry.mBackoffBase, cap, aRequest.mBackoffCount++, mRandom);
}

// Closes the tasks that are not with a placer as not started and cancels the
// others. Finishes the request when none was with a placer.
void
Engine::CancelOpenTasks(LiveRequest& aRequest)
{
  for (TaskSlot& slot : aRequest.mSlots) {
    if (slot.mPhase == SlotPhase::Waiting ||
        slot.mPhase == SlotPhase::Recording) {
      MarkSlotDone(aRequest, slot, TaskState::NotStarted);
    } else if (slot.mPhase != SlotPhase::Done) {
      slot.mCancelRequested = true;
      ScheduleResend(aRequest);
    }
  }
  if (aRequest.IsGang()) {
    aRequest.mGangReleasing = true;
  }
  SendCancels(aRequest);
  FinishIfDone(aRequest);
}

void
Engine::MarkSlotDone(LiveRequest& aRequest,
                     TaskSlot& aSlot,
                     protocol::TaskState aState)
{
  aSlot.mPhase = SlotPhase::Done;
  aSlot.mState = aState;
  ++aRequest.mSlotsDone;
}

// Returns true when every shard's placer has refused the request as never
// runnable, or its digest shows that no host of the shard is large enough.
bool
Engine::IsNeverRunnable(const LiveRequest& aRequest) const
{
  const std::vector<ShardId>& refusedBy = aRequest.mInfeasibleShards;
  if (refusedBy.empty()) {
    return false;
  }
  for (std::uint32_t shard = 0; shard < mRouter.ShardCount(); ++shard) {
    const ShardView& view = mRouter.View(ShardId(shard));
    const bool ruledOutByDigest =
      view.mKnown && view.mDigest.mReady &&
      !aRequest.mSpec.mPerTask.FitsIn(view.mDigest.mLargestWorker);
    if (!ruledOutByDigest &&
        std::find(refusedBy.begin(), refusedBy.end(), ShardId(shard)) ==
          refusedBy.end()) {
      return false;
    }
  }
  return true;
}

} // namespace oriolevane::coordination::internal
