// Reconciliation with the attempts that placers hold, after a restart of this
// partition's owner or of a shard's placer.
#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "coordination/internal/engine.h"

namespace oriolevane::coordination::internal {

namespace {

using protocol::TaskState;

} // namespace

std::vector<CoordinatorAction>
Engine::BeginServing(TimePoint aNow)
{
  mNow = aNow;
  mRecoveryStarted = true;
  mOutcomes.StartRetention(aNow);
  for (const auto& [id, request] : mRequests.Requests()) {
    request->mSubmitted = aNow;
    if (request->mSpec.mDeadline) {
      request->mDeadlineAt = aNow + *request->mSpec.mDeadline;
    }
    AddTrailEntry(*request, TrailEvent::Recovered, {});
    mRequests.Reschedule(*request);
  }
  SendReconcileQueries();
  return std::exchange(mActions, {});
}

void
Engine::SendReconcileQueries()
{
  mReconcileQueriesAt = mNow + mOptions.mResendInterval;
  for (std::uint32_t shard = 0;
       mRecoveryStarted && shard < mRouter.ShardCount();
       ++shard) {
    if (!mRouter.View(ShardId(shard)).mReconciled) {
      Send(ShardId(shard), protocol::ReconcileQuery{});
    }
  }
}

// Returns false for a message from a placer of an earlier epoch than the
// highest seen. A placer of a new epoch is asked which attempts it holds, and
// nothing is concluded about attempts sent to its predecessor before it has
// answered.
bool
Engine::ObserveEpoch(ShardId aShard, Epoch aEpoch)
{
  if (!mRouter.Exists(aShard) || aEpoch < mRouter.View(aShard).mEpoch) {
    return false;
  }
  ShardView& view = mRouter.View(aShard);
  if (view.mEpoch < aEpoch) {
    view.mEpoch = aEpoch;
    view.mReconciled = false;
    view.mDeducted = {};
    if (mRecoveryStarted) {
      Send(aShard, protocol::ReconcileQuery{});
    }
  }
  return true;
}

void
Engine::On(const protocol::ReconcileAnswer& aEvent)
{
  const ShardId shard = aEvent.mRoute.mShard;
  const Epoch epoch = aEvent.mRoute.mSenderEpoch;
  const std::uint64_t query = aEvent.mRoute.mSequence;
  const bool toEarlierOwner = query != 0 && query < mFirstSequence;
  if (toEarlierOwner || !ObserveEpoch(shard, epoch) ||
      mRouter.View(shard).mReconciled) {
    return;
  }
  for (const protocol::HeldTask& held : aEvent.mTasks) {
    ReconcileHeldTask(held, shard, epoch);
  }
  if (!aEvent.mComplete) {
    return;
  }
  mRouter.View(shard).mReconciled = true;
  EndUnlistedAttempts(shard);
  if (mServing) {
    return;
  }
  for (std::uint32_t other = 0; other < mRouter.ShardCount(); ++other) {
    if (!mRouter.View(ShardId(other)).mReconciled) {
      return;
    }
  }
  CompleteRecovery();
}

// Adopts an attempt that a placer lists, or cancels it as an orphan when no
// request of that id is known.
void
Engine::ReconcileHeldTask(const protocol::HeldTask& aHeld,
                          ShardId aShard,
                          Epoch aEpoch)
{
  LiveRequest* request = mRequests.Find(aHeld.mTask.mRequest);
  if (request == nullptr || aHeld.mTask.mIndex >= request->mSlots.size()) {
    if (mOutcomes.Find(aHeld.mTask.mRequest) == nullptr) {
      AddOrphan(aHeld.mTask, aShard, aEpoch);
    }
    return;
  }
  TaskSlot& slot = request->mSlots[aHeld.mTask.mIndex];
  if (mServing) {
    const bool known =
      slot.mAttempt == aHeld.mTask.mAttempt && slot.mShard == aShard &&
      slot.mPlacerEpoch < aEpoch &&
      (slot.mPhase == SlotPhase::Sent || slot.mPhase == SlotPhase::Held ||
       slot.mPhase == SlotPhase::Placed);
    if (known) {
      AdoptAttempt(slot, aHeld, aShard, aEpoch);
    }
    return;
  }
  // An attempt below the recorded one has ended, whatever became of the later
  // one.
  const auto recorded = request->mDurableDispatches.find(aHeld.mTask.mIndex);
  const bool superseded = recorded != request->mDurableDispatches.end() &&
                          aHeld.mTask.mAttempt < recorded->second.mAttempt;
  if (!superseded && slot.mAttempt <= aHeld.mTask.mAttempt) {
    AdoptAttempt(slot, aHeld, aShard, aEpoch);
  }
}

// Takes the listed state over into the slot. An ended attempt counts as running
// until its own update brings its answer.
void
Engine::AdoptAttempt(TaskSlot& aSlot,
                     const protocol::HeldTask& aHeld,
                     ShardId aShard,
                     Epoch aEpoch)
{
  aSlot.mPhase = SlotPhase::Placed;
  aSlot.mState = IsFinal(aHeld.mState) ? TaskState::Running : aHeld.mState;
  aSlot.mAttempt = aHeld.mTask.mAttempt;
  aSlot.mShard = aShard;
  aSlot.mPlacerEpoch = aEpoch;
  aSlot.mWorker = aHeld.mWorker;
  aSlot.mPlacementsSent = std::max<std::uint8_t>(aSlot.mPlacementsSent, 1);
}

// Ends the attempts of an earlier epoch that the shard's placer did not list.
// Whether they ran is not known.
void
Engine::EndUnlistedAttempts(ShardId aShard)
{
  const Epoch epoch = mRouter.View(aShard).mEpoch;
  mOrphans.EndUnlisted(aShard, epoch, mNow);
  std::vector<LiveRequest*> requests;
  for (const auto& [id, request] : mRequests.Requests()) {
    const bool mayHaveUnlisted =
      std::any_of(request->mSlots.begin(),
                  request->mSlots.end(),
                  [&](const TaskSlot& aSlot) {
                    return aSlot.mShard == aShard && aSlot.mPlacerEpoch < epoch;
                  });
    if (mayHaveUnlisted) {
      requests.push_back(request.get());
    }
  }
  std::sort(requests.begin(),
            requests.end(),
            [](const LiveRequest* aLeft, const LiveRequest* aRight) {
              return aLeft->mSpec.mId < aRight->mSpec.mId;
            });
  for (LiveRequest* request : requests) {
    EndUnlistedAttempts(*request, aShard, epoch);
  }
}

// Ends one request's unlisted attempts at the shard as lost. Before recovery is
// complete their tasks go back to waiting instead, and the request may have
// run.
void
Engine::EndUnlistedAttempts(LiveRequest& aRequest, ShardId aShard, Epoch aEpoch)
{
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    TaskSlot& slot = aRequest.mSlots[index];
    const bool withPlacer = slot.mPhase == SlotPhase::Sent ||
                            slot.mPhase == SlotPhase::Held ||
                            slot.mPhase == SlotPhase::Placed;
    if (!withPlacer || slot.mShard != aShard || !(slot.mPlacerEpoch < aEpoch)) {
      continue;
    }
    if (!mServing) {
      slot.mPhase = SlotPhase::Waiting;
      aRequest.mMayHaveRun = true;
      continue;
    }
    AddTrailEntry(
      aRequest, TrailEvent::ShardTakenOver, fmt::format("{}", aShard));
    EndAttempt(aRequest,
               { .mRoute = { .mShard = aShard, .mSenderEpoch = aEpoch },
                 .mTask = { .mRequest = aRequest.mSpec.mId,
                            .mIndex = index,
                            .mAttempt = slot.mAttempt },
                 .mState = TaskState::Lost,
                 .mReason = protocol::TaskEndReason::WorkerLost,
                 .mWorker = slot.mWorker });
  }
  mRequests.Reschedule(aRequest);
}

void
Engine::CompleteRecovery()
{
  mServing = true;
  for (const LiveRequest* request : mRequests.Sorted()) {
    ResumeRequest(*mRequests.Find(request->mSpec.mId));
  }
}

// Continues a recovered request once all shards have answered. Attempts that no
// shard holds have ended. Attempts of a never-repeat request are recorded, so
// it is known which may have run; those of a repeatable request are not
// recorded, so any of them may have run.
void
Engine::ResumeRequest(LiveRequest& aRequest)
{
  bool anyWithPlacer = false;
  bool anyLost = false;
  aRequest.mMayHaveRun = aRequest.mMayHaveRun || !aRequest.mSpec.mNeverRepeat;
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    TaskSlot& slot = aRequest.mSlots[index];
    const auto recorded = aRequest.mDurableDispatches.find(index);
    if (slot.mPhase == SlotPhase::Placed) {
      anyWithPlacer = true;
    } else if (recorded != aRequest.mDurableDispatches.end()) {
      slot.mAttempt = recorded->second.mAttempt;
      slot.mShard = recorded->second.mShard;
      MarkSlotDone(aRequest, slot, TaskState::Lost);
      anyLost = true;
    }
  }
  const bool anyWaiting = std::any_of(
    aRequest.mSlots.begin(), aRequest.mSlots.end(), [](const TaskSlot& aSlot) {
      return aSlot.mPhase == SlotPhase::Waiting;
    });
  const bool brokenGang =
    aRequest.IsGang() && ((anyWithPlacer && anyWaiting) || anyLost);
  if (aRequest.mCancelled || brokenGang) {
    CancelOpenTasks(aRequest);
  } else {
    FinishIfDone(aRequest);
  }
  if (!aRequest.mFinalStatus) {
    aRequest.mDispatchAt = anyWaiting ? mNow : TimePoint::max();
    mRequests.Reschedule(aRequest);
  }
}

void
Engine::AddOrphan(const protocol::TaskKey& aTask, ShardId aShard, Epoch aEpoch)
{
  if (mOrphans.Add(aTask, aShard, aEpoch) && mServing) {
    Send(aShard, protocol::CancelTasks{ .mTasks = { aTask } });
  }
}

} // namespace oriolevane::coordination::internal
