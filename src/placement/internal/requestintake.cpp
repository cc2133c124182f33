#include "placement/internal/requestintake.h"

#include <algorithm>

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskKey;
using protocol::TaskState;

RequestIntake::RequestIntake(PlacerContext& aContext,
                             AttemptLifecycle& aLifecycle,
                             TaskQueue& aQueue,
                             GangPlacer& aGangs)
  : mContext(aContext)
  , mLifecycle(aLifecycle)
  , mQueue(aQueue)
  , mGangs(aGangs)
  , mCheck(aContext, aQueue)
{
}

bool
RequestIntake::IsCurrent(const protocol::Route& aRoute)
{
  if (aRoute.mShard != mContext.mOptions.mShard) {
    return false;
  }
  Sender& sender = mSenders[aRoute.mPartition];
  if (aRoute.mSenderEpoch < sender.mEpoch) {
    return false;
  }
  if (aRoute.mSenderEpoch > sender.mEpoch) {
    sender = Sender{ .mEpoch = aRoute.mSenderEpoch };
  }
  // Zero is not numbered.
  if (aRoute.mSequence != 0 && aRoute.mSequence <= sender.mSequence) {
    return false;
  }
  sender.mSequence = std::max(sender.mSequence, aRoute.mSequence);
  return true;
}

bool
RequestIntake::IsSurelyFresh(Epoch aShardEpoch) const
{
  return aShardEpoch == mContext.mOptions.mEpoch ||
         mContext.mOptions.mEpoch <= Epoch{ 1 };
}

void
RequestIntake::Handle(const protocol::PlaceTasks& aOrder)
{
  if (!IsCurrent(aOrder.mRoute) ||
      aOrder.mShardEpoch > mContext.mOptions.mEpoch) {
    return;
  }
  const std::shared_ptr<Batch> batch = MakeBatch(aOrder);
  std::vector<TaskKey> fresh;
  for (const std::uint32_t taskIndex : aOrder.mIndexes) {
    const TaskKey key{ .mRequest = aOrder.mRequest,
                       .mIndex = taskIndex,
                       .mAttempt = aOrder.mAttempt };
    const AttemptIndex known = mContext.mAttempts.Find(key);
    if (known != kNoAttempt) {
      AnswerKnown(known, batch);
      continue;
    }
    const std::optional<Tombstone> stone = mContext.mTombstones.Find(key);
    if (!stone.has_value()) {
      fresh.push_back(key);
    } else if (stone->mAnswer) {
      SendUntracked(aOrder.mRoute, key, *stone);
    }
  }
  for (const TaskKey& key : fresh) {
    // A message may name an index twice.
    if (mContext.mAttempts.Find(key) == kNoAttempt) {
      AddFresh(key, batch);
    }
  }
  if (!fresh.empty()) {
    Admit(*batch);
  }
}

std::shared_ptr<Batch>
RequestIntake::MakeBatch(const protocol::PlaceTasks& aOrder)
{
  auto batch = std::make_shared<Batch>();
  batch->mOrder = aOrder;
  batch->mOrder.mIndexes.clear();
  batch->mPerTask = aOrder.mPerTask;
  // Each task takes at least one of a worker's slots.
  batch->mPerTask.mSlots =
    aOrder.mPerTask.mSlots == 0 ? 1 : aOrder.mPerTask.mSlots;
  batch->mTeam = mContext.mTeams.Find(aOrder.mTeam, *mContext.mPolicy);
  batch->mWorkload =
    mContext.mWorkloads.Find(aOrder.mWorkload, *mContext.mPolicy);
  batch->mSubmitted = mContext.mNow - aOrder.mAge;
  if (aOrder.mTimeToDeadline.has_value()) {
    batch->mDeadline = mContext.mNow + *aOrder.mTimeToDeadline;
  }
  return batch;
}

void
RequestIntake::AnswerKnown(AttemptIndex aIndex,
                           const std::shared_ptr<Batch>& aBatch)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  if (attempt.mBatch == nullptr && !attempt.mUnsure) {
    // Found in an inventory; now it is known whose it is.
    mLifecycle.Claim(aIndex, aBatch);
  }
  if (attempt.mAcknowledged) {
    return;
  }
  const Batch* batch = attempt.mBatch.get();
  const bool isHeld = attempt.mState == TaskState::Queued && attempt.mCounted;
  if (isHeld && batch->mHeldUntil.has_value()) {
    const bool isFirst = mContext.RefOf(aIndex) == batch->mMembers.front();
    if (isFirst) {
      mGangs.SendHeld(*batch);
    }
    return;
  }
  mContext.mOutbox.SendState(attempt, mContext.NameOf(attempt.mWorker));
}

void
RequestIntake::AddFresh(const TaskKey& aKey,
                        const std::shared_ptr<Batch>& aBatch)
{
  const AttemptIndex index = mContext.mAttempts.Add(aKey);
  Attempt& attempt = mContext.mAttempts.At(index);
  attempt.mPartition = aBatch->mOrder.mRoute.mPartition;
  attempt.mBatch = aBatch;
  attempt.mResources = aBatch->mPerTask;
  // Not in the queue until admitted.
  attempt.mUnsure = true;
  aBatch->mMembers.push_back(mContext.RefOf(index));
}

void
RequestIntake::Admit(Batch& aBatch)
{
  if (!IsSurelyFresh(aBatch.mOrder.mShardEpoch)) {
    const bool wasEarlier = aBatch.mOrder.mShardEpoch != Epoch{};
    if (!mContext.mRecovered) {
      mUnsure.insert(
        mUnsure.end(), aBatch.mMembers.begin(), aBatch.mMembers.end());
      return;
    }
    if (wasEarlier) {
      Refuse(aBatch, { .mReason = TaskEndReason::WorkerLost });
      return;
    }
  }
  if (mContext.mHandingOver) {
    Refuse(aBatch, { .mReason = TaskEndReason::NotOwner });
    return;
  }
  const std::optional<Refusal> refusal =
    mCheck.Check(aBatch, aBatch.mMembers.size());
  if (refusal.has_value()) {
    Refuse(aBatch, *refusal);
    return;
  }
  for (const AttemptRef& ref : aBatch.mMembers) {
    Attempt* attempt = mContext.Resolve(ref);
    if (attempt != nullptr) {
      attempt->mUnsure = false;
    }
  }
  if (aBatch.mOrder.mHold) {
    const Attempt& first = mContext.mAttempts.At(aBatch.mMembers[0].mIndex);
    mHolds[{ aBatch.mOrder.mRequest, aBatch.mOrder.mAttempt }].push_back(
      first.mBatch);
  }
  mQueue.AddBatch(aBatch);
}

void
RequestIntake::Refuse(const Batch& aBatch, const Refusal& aRefusal)
{
  const TaskState state = aRefusal.mReason == TaskEndReason::WorkerLost
                            ? TaskState::Lost
                            : TaskState::NotStarted;
  for (const AttemptRef& ref : aBatch.mMembers) {
    Attempt* attempt = mContext.Resolve(ref);
    if (attempt != nullptr && !attempt->IsFinal()) {
      attempt->mRetryAfter = aRefusal.mRetryAfter;
      mLifecycle.Finish(ref.mIndex, state, aRefusal.mReason, aRefusal.mAnswer);
    }
  }
}

void
RequestIntake::Handle(const protocol::CommitHold& aCommit)
{
  if (!IsCurrent(aCommit.mRoute)) {
    return;
  }
  const auto found = mHolds.find({ aCommit.mRequest, aCommit.mAttempt });
  if (found == mHolds.end()) {
    return;
  }
  for (const std::weak_ptr<Batch>& held : found->second) {
    if (const std::shared_ptr<Batch> batch = held.lock()) {
      mGangs.Commit(*batch);
    }
  }
}

void
RequestIntake::Handle(const protocol::CancelTasks& aCancel)
{
  if (!IsCurrent(aCancel.mRoute)) {
    return;
  }
  for (const TaskKey& key : aCancel.mTasks) {
    CancelOne(aCancel, key);
  }
}

void
RequestIntake::CancelOne(const protocol::CancelTasks& aCancel,
                         const TaskKey& aKey)
{
  const AttemptIndex index = mContext.mAttempts.Find(aKey);
  if (index == kNoAttempt) {
    CancelUnknown(aCancel, aKey);
    return;
  }
  Attempt& attempt = mContext.mAttempts.At(index);
  if (attempt.mAcknowledged) {
    return;
  }
  if (attempt.IsFinal()) {
    mContext.mOutbox.SendState(attempt, mContext.NameOf(attempt.mWorker));
  } else if (attempt.mUnsure) {
    attempt.mStopReason = TaskEndReason::Cancelled;
  } else if (attempt.mState == TaskState::Queued) {
    mLifecycle.Finish(index, TaskState::NotStarted, TaskEndReason::Cancelled);
  } else {
    mLifecycle.OrderStop(index, TaskEndReason::Cancelled, false);
  }
}

void
RequestIntake::CancelUnknown(const protocol::CancelTasks& aCancel,
                             const TaskKey& aKey)
{
  std::optional<Tombstone> stone = mContext.mTombstones.Find(aKey);
  if (stone.has_value()) {
    if (stone->mAnswer) {
      SendUntracked(aCancel.mRoute, aKey, *stone);
    }
    return;
  }
  const bool isFresh = IsSurelyFresh(aCancel.mShardEpoch);
  if (!isFresh && !mContext.mRecovered) {
    // It may run on a worker that is not fenced yet.
    const AttemptIndex index = mContext.mAttempts.Add(aKey);
    Attempt& attempt = mContext.mAttempts.At(index);
    attempt.mPartition = aCancel.mRoute.mPartition;
    attempt.mUnsure = true;
    attempt.mStopReason = TaskEndReason::Cancelled;
    mUnsure.push_back(mContext.RefOf(index));
    return;
  }
  stone =
    Tombstone{ .mState = isFresh ? TaskState::NotStarted : TaskState::Lost,
               .mReason = TaskEndReason::Cancelled };
  mContext.mTombstones.Add(aKey, *stone, mContext.mNow);
  SendUntracked(aCancel.mRoute, aKey, *stone);
}

void
RequestIntake::SendUntracked(const protocol::Route& aRoute,
                             const TaskKey& aKey,
                             const Tombstone& aStone)
{
  mContext.mOutbox.Send(
    protocol::TaskUpdate{ .mRoute = mContext.mOutbox.RouteTo(aRoute.mPartition),
                          .mTask = aKey,
                          .mState = aStone.mState,
                          .mReason = aStone.mReason });
}

void
RequestIntake::Handle(const protocol::UpdateAck& aAck)
{
  if (!IsCurrent(aAck.mRoute)) {
    return;
  }
  const AttemptIndex index = mContext.mAttempts.Find(aAck.mTask);
  if (index != kNoAttempt) {
    mLifecycle.Acknowledge(index);
  }
}

void
RequestIntake::Handle(const protocol::ReconcileQuery& aQuery)
{
  if (!IsCurrent(aQuery.mRoute)) {
    return;
  }
  SendReconcileAnswer(aQuery.mRoute.mPartition, aQuery.mRoute.mSequence);
  if (!mContext.mRecovered) {
    mUnanswered[aQuery.mRoute.mPartition] = aQuery.mRoute.mSequence;
  }
}

void
RequestIntake::SendReconcileAnswer(PartitionId aPartition,
                                   std::uint64_t aQuerySequence)
{
  protocol::ReconcileAnswer answer{ .mRoute =
                                      mContext.mOutbox.RouteTo(aPartition),
                                    .mComplete = mContext.mRecovered };
  // Tells the coordinator which of its queries this answers.
  answer.mRoute.mSequence = aQuerySequence;
  mContext.mAttempts.ForEach([&](AttemptIndex /*aIndex*/,
                                 const Attempt& aAttempt) {
    if (aAttempt.mPartition == aPartition && !aAttempt.mUnsure) {
      answer.mTasks.push_back({ .mTask = aAttempt.mKey,
                                .mState = aAttempt.mState,
                                .mWorker = mContext.NameOf(aAttempt.mWorker) });
    }
  });
  mContext.mOutbox.Send(std::move(answer));
}

void
RequestIntake::GiveBackWaiting()
{
  std::vector<AttemptIndex> waiting;
  mContext.mAttempts.ForEach(
    [&waiting](AttemptIndex aIndex, const Attempt& aAttempt) {
      // Held ones too: a hold ends with its placer.
      if (aAttempt.mState == TaskState::Queued && !aAttempt.mUnsure) {
        waiting.push_back(aIndex);
      }
    });
  for (const AttemptIndex index : waiting) {
    mLifecycle.Finish(index, TaskState::NotStarted, TaskEndReason::NotOwner);
  }
}

void
RequestIntake::FinishRecovery()
{
  mContext.mRecovered = true;
  const std::vector<AttemptRef> unsure = std::exchange(mUnsure, {});
  const auto isUnsure = [this](const AttemptRef& aRef) {
    const Attempt* attempt = mContext.Resolve(aRef);
    return attempt != nullptr && attempt->mUnsure;
  };
  for (const AttemptRef& ref : unsure) {
    if (isUnsure(ref)) {
      const TaskEndReason reason = mContext.Resolve(ref)->mStopReason;
      if (reason != TaskEndReason::None) {
        mLifecycle.Finish(ref.mIndex, TaskState::Lost, reason);
      }
    }
  }
  std::set<const Batch*> admitted;
  for (const AttemptRef& ref : unsure) {
    if (isUnsure(ref)) {
      const std::shared_ptr<Batch> batch = mContext.Resolve(ref)->mBatch;
      if (admitted.insert(batch.get()).second) {
        Admit(*batch);
      }
    }
  }
  for (const auto& [partition, sequence] : std::exchange(mUnanswered, {})) {
    SendReconcileAnswer(partition, sequence);
  }
}

void
RequestIntake::RecheckSizes()
{
  std::vector<AttemptIndex> waiting;
  mContext.mAttempts.ForEach([&](AttemptIndex aIndex, const Attempt& aAttempt) {
    if (aAttempt.IsWaiting()) {
      waiting.push_back(aIndex);
    }
  });
  for (const AttemptIndex index : waiting) {
    const Attempt& attempt = mContext.mAttempts.At(index);
    const std::optional<Refusal> refusal = mCheck.CheckSize(*attempt.mBatch, 1);
    if (refusal.has_value()) {
      mLifecycle.Finish(
        index, TaskState::NotStarted, refusal->mReason, refusal->mAnswer);
    }
  }
}

void
RequestIntake::Tidy()
{
  for (auto hold = mHolds.begin(); hold != mHolds.end();) {
    std::erase_if(hold->second, [](const std::weak_ptr<Batch>& aBatch) {
      return aBatch.expired();
    });
    hold = hold->second.empty() ? mHolds.erase(hold) : std::next(hold);
  }
}

} // namespace oriolevane::placement
