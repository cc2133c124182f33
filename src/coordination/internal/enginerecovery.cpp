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
  mBegun = true;
  mOutcomes.StartRetention(aNow);
  for (const auto& [id, request] : mRequests.Requests()) {
    request->mSubmitted = aNow;
    if (request->mSpec.mDeadline) {
      request->mDeadlineAt = aNow + *request->mSpec.mDeadline;
    }
    Note(*request, TrailEvent::Recovered, {});
    mRequests.Reschedule(*request);
  }
  AskShards();
  return std::exchange(mActions, {});
}

void
Engine::AskShards()
{
  mAskShardsAt = mNow + mOptions.mResendAfter;
  for (std::uint32_t shard = 0; mBegun && shard < mRouter.ShardCount();
       ++shard) {
    if (!mRouter.View(ShardId(shard)).mReconciled) {
      Send(ShardId(shard), protocol::ReconcileQuery{});
    }
  }
}

// False for a message from a fenced placer. A new placer is asked what it holds
// before anything is concluded about what its predecessor was sent.
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
    if (mBegun) {
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
    TakeHeld(held, shard, epoch);
  }
  if (!aEvent.mComplete) {
    return;
  }
  mRouter.View(shard).mReconciled = true;
  SweepShard(shard);
  if (mServing) {
    return;
  }
  for (std::uint32_t other = 0; other < mRouter.ShardCount(); ++other) {
    if (!mRouter.View(ShardId(other)).mReconciled) {
      return;
    }
  }
  BecomeServing();
}

void
Engine::TakeHeld(const protocol::HeldTask& aHeld, ShardId aShard, Epoch aEpoch)
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
       slot.mPhase == SlotPhase::Out);
    if (known) {
      Adopt(slot, aHeld, aShard, aEpoch);
    }
    return;
  }
  // Below the recorded attempt it is over, whatever became of the later one.
  const auto recorded = request->mDispatchedDurable.find(aHeld.mTask.mIndex);
  const bool superseded = recorded != request->mDispatchedDurable.end() &&
                          aHeld.mTask.mAttempt < recorded->second.mAttempt;
  if (!superseded && slot.mAttempt <= aHeld.mTask.mAttempt) {
    Adopt(slot, aHeld, aShard, aEpoch);
  }
}

// The answer of an ended attempt comes with its own update; until then it
// counts as running.
void
Engine::Adopt(TaskSlot& aSlot,
              const protocol::HeldTask& aHeld,
              ShardId aShard,
              Epoch aEpoch)
{
  aSlot.mPhase = SlotPhase::Out;
  aSlot.mState = IsFinal(aHeld.mState) ? TaskState::Running : aHeld.mState;
  aSlot.mAttempt = aHeld.mTask.mAttempt;
  aSlot.mShard = aShard;
  aSlot.mPlacerEpoch = aEpoch;
  aSlot.mWorker = aHeld.mWorker;
  aSlot.mSends = std::max<std::uint8_t>(aSlot.mSends, 1);
}

// What the shard's placer did not list is over. Whether it ran is not known.
void
Engine::SweepShard(ShardId aShard)
{
  const Epoch epoch = mRouter.View(aShard).mEpoch;
  mOrphans.Sweep(aShard, epoch, mNow);
  std::vector<LiveRequest*> requests;
  for (const auto& [id, request] : mRequests.Requests()) {
    const bool touched =
      std::any_of(request->mSlots.begin(),
                  request->mSlots.end(),
                  [&](const TaskSlot& aSlot) {
                    return aSlot.mShard == aShard && aSlot.mPlacerEpoch < epoch;
                  });
    if (touched) {
      requests.push_back(request.get());
    }
  }
  std::sort(requests.begin(),
            requests.end(),
            [](const LiveRequest* aLeft, const LiveRequest* aRight) {
              return aLeft->mSpec.mId < aRight->mSpec.mId;
            });
  for (LiveRequest* request : requests) {
    SweepRequest(*request, aShard, epoch);
  }
}

void
Engine::SweepRequest(LiveRequest& aRequest, ShardId aShard, Epoch aEpoch)
{
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    TaskSlot& slot = aRequest.mSlots[index];
    const bool out = slot.mPhase == SlotPhase::Sent ||
                     slot.mPhase == SlotPhase::Held ||
                     slot.mPhase == SlotPhase::Out;
    if (!out || slot.mShard != aShard || !(slot.mPlacerEpoch < aEpoch)) {
      continue;
    }
    if (!mServing) {
      slot.mPhase = SlotPhase::Waiting;
      aRequest.mMayHaveRun = true;
      continue;
    }
    Note(aRequest, TrailEvent::ShardTakenOver, fmt::format("{}", aShard));
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
Engine::BecomeServing()
{
  mServing = true;
  for (const LiveRequest* request : mRequests.Sorted()) {
    ResumeRequest(*mRequests.Find(request->mSpec.mId));
  }
}

// Attempts that no shard holds are over. Those of a never-repeat request are
// recorded, so it is known which may have run; those of a repeatable one are
// not recorded, so any may.
void
Engine::ResumeRequest(LiveRequest& aRequest)
{
  bool someOut = false;
  bool someLost = false;
  aRequest.mMayHaveRun = aRequest.mMayHaveRun || !aRequest.mSpec.mNeverRepeat;
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    TaskSlot& slot = aRequest.mSlots[index];
    const auto recorded = aRequest.mDispatchedDurable.find(index);
    if (slot.mPhase == SlotPhase::Out) {
      someOut = true;
    } else if (recorded != aRequest.mDispatchedDurable.end()) {
      slot.mAttempt = recorded->second.mAttempt;
      slot.mShard = recorded->second.mShard;
      CloseSlot(aRequest, slot, TaskState::Lost);
      someLost = true;
    }
  }
  const bool someWait = std::any_of(
    aRequest.mSlots.begin(), aRequest.mSlots.end(), [](const TaskSlot& aSlot) {
      return aSlot.mPhase == SlotPhase::Waiting;
    });
  const bool brokenGang =
    aRequest.IsGang() && ((someOut && someWait) || someLost);
  if (aRequest.mCancelled || brokenGang) {
    WithdrawSlots(aRequest);
  } else {
    FinishIfDone(aRequest);
  }
  if (!aRequest.mFinished) {
    aRequest.mDispatchAt = someWait ? mNow : TimePoint::max();
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
