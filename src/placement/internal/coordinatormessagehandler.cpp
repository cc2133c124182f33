#include "placement/internal/coordinatormessagehandler.h"

#include <algorithm>

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskKey;
using protocol::TaskState;

CoordinatorMessageHandler::CoordinatorMessageHandler(
  PlacerContext& aContext,
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
CoordinatorMessageHandler::IsCurrent(const protocol::Route& aRoute)
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
  // A sequence number of zero is not checked.
  if (aRoute.mSequence != 0 && aRoute.mSequence <= sender.mSequence) {
    return false;
  }
  sender.mSequence = std::max(sender.mSequence, aRoute.mSequence);
  return true;
}

bool
CoordinatorMessageHandler::IsUnknownToEarlierOwners(Epoch aShardEpoch) const
{
  return aShardEpoch == mContext.mOptions.mEpoch ||
         mContext.mOptions.mEpoch <= Epoch{ 1 };
}

void
CoordinatorMessageHandler::Handle(const protocol::PlaceTasks& aPlaceTasks)
{
  if (!IsCurrent(aPlaceTasks.mRoute) ||
      aPlaceTasks.mShardEpoch > mContext.mOptions.mEpoch) {
    return;
  }
  const std::shared_ptr<Batch> batch = MakeBatch(aPlaceTasks);
  std::vector<TaskKey> newKeys;
  for (const std::uint32_t taskIndex : aPlaceTasks.mIndexes) {
    const TaskKey key{ .mRequest = aPlaceTasks.mRequest,
                       .mIndex = taskIndex,
                       .mAttempt = aPlaceTasks.mAttempt };
    const AttemptIndex known = mContext.mAttempts.Find(key);
    if (known != kNoAttempt) {
      ReportKnownAttempt(known, batch);
      continue;
    }
    const std::optional<Tombstone> tombstone = mContext.mTombstones.Find(key);
    if (!tombstone.has_value()) {
      newKeys.push_back(key);
    } else if (tombstone->mReplyToMessages) {
      SendUntrackedUpdate(aPlaceTasks.mRoute, key, *tombstone);
    }
  }
  for (const TaskKey& key : newKeys) {
    // A message may contain the same index twice.
    if (mContext.mAttempts.Find(key) == kNoAttempt) {
      AddNewAttempt(key, batch);
    }
  }
  if (!newKeys.empty()) {
    Admit(*batch);
  }
}

std::shared_ptr<Batch>
CoordinatorMessageHandler::MakeBatch(const protocol::PlaceTasks& aPlaceTasks)
{
  auto batch = std::make_shared<Batch>();
  batch->mPlaceTasks = aPlaceTasks;
  batch->mPlaceTasks.mIndexes.clear();
  batch->mPerTask = aPlaceTasks.mPerTask;
  // Each task uses at least one of a worker's slots.
  batch->mPerTask.mSlots =
    aPlaceTasks.mPerTask.mSlots == 0 ? 1 : aPlaceTasks.mPerTask.mSlots;
  batch->mTeam =
    mContext.mTeams.FindOrAdd(aPlaceTasks.mTeam, *mContext.mPolicy);
  batch->mWorkload =
    mContext.mWorkloads.FindOrAdd(aPlaceTasks.mWorkload, *mContext.mPolicy);
  batch->mSubmitted = mContext.mNow - aPlaceTasks.mAge;
  if (aPlaceTasks.mTimeToDeadline.has_value()) {
    batch->mDeadline = mContext.mNow + *aPlaceTasks.mTimeToDeadline;
  }
  return batch;
}

void
CoordinatorMessageHandler::ReportKnownAttempt(
  AttemptIndex aIndex,
  const std::shared_ptr<Batch>& aBatch)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  if (attempt.mBatch == nullptr && !attempt.mUnresolved) {
    // It was found in a worker's inventory; this message tells which batch it
    // belongs to.
    mLifecycle.AssignBatch(aIndex, aBatch);
  }
  if (attempt.mAcknowledged) {
    return;
  }
  const Batch* batch = attempt.mBatch.get();
  const bool isHeld =
    attempt.mState == TaskState::Queued && attempt.mResourcesGranted;
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
CoordinatorMessageHandler::AddNewAttempt(const TaskKey& aKey,
                                         const std::shared_ptr<Batch>& aBatch)
{
  const AttemptIndex index = mContext.mAttempts.Add(aKey);
  Attempt& attempt = mContext.mAttempts.At(index);
  attempt.mPartition = aBatch->mPlaceTasks.mRoute.mPartition;
  attempt.mBatch = aBatch;
  attempt.mResources = aBatch->mPerTask;
  // It enters the queue when it is admitted.
  attempt.mUnresolved = true;
  aBatch->mMembers.push_back(mContext.RefOf(index));
}

void
CoordinatorMessageHandler::Admit(Batch& aBatch)
{
  if (!IsUnknownToEarlierOwners(aBatch.mPlaceTasks.mShardEpoch)) {
    const bool wasSentEarlier = aBatch.mPlaceTasks.mShardEpoch != Epoch{};
    if (!mContext.mRecovered) {
      mUnresolvedAttempts.insert(mUnresolvedAttempts.end(),
                                 aBatch.mMembers.begin(),
                                 aBatch.mMembers.end());
      return;
    }
    if (wasSentEarlier) {
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
      attempt->mUnresolved = false;
    }
  }
  if (aBatch.mPlaceTasks.mHold) {
    const Attempt& first = mContext.mAttempts.At(aBatch.mMembers[0].mIndex);
    mHoldBatches[{ aBatch.mPlaceTasks.mRequest, aBatch.mPlaceTasks.mAttempt }]
      .push_back(first.mBatch);
  }
  mQueue.AddBatch(aBatch);
}

void
CoordinatorMessageHandler::Refuse(const Batch& aBatch, const Refusal& aRefusal)
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
CoordinatorMessageHandler::Handle(const protocol::CommitHold& aCommit)
{
  if (!IsCurrent(aCommit.mRoute)) {
    return;
  }
  const auto found = mHoldBatches.find({ aCommit.mRequest, aCommit.mAttempt });
  if (found == mHoldBatches.end()) {
    return;
  }
  for (const std::weak_ptr<Batch>& held : found->second) {
    if (const std::shared_ptr<Batch> batch = held.lock()) {
      mGangs.Commit(*batch);
    }
  }
}

void
CoordinatorMessageHandler::Handle(const protocol::CancelTasks& aCancel)
{
  if (!IsCurrent(aCancel.mRoute)) {
    return;
  }
  for (const TaskKey& key : aCancel.mTasks) {
    CancelOne(aCancel, key);
  }
}

void
CoordinatorMessageHandler::CancelOne(const protocol::CancelTasks& aCancel,
                                     const TaskKey& aKey)
{
  const AttemptIndex index = mContext.mAttempts.Find(aKey);
  if (index == kNoAttempt) {
    CancelUntracked(aCancel, aKey);
    return;
  }
  Attempt& attempt = mContext.mAttempts.At(index);
  if (attempt.mAcknowledged) {
    return;
  }
  if (attempt.IsFinal()) {
    mContext.mOutbox.SendState(attempt, mContext.NameOf(attempt.mWorker));
  } else if (attempt.mUnresolved) {
    attempt.mStopReason = TaskEndReason::Cancelled;
  } else if (attempt.mState == TaskState::Queued) {
    mLifecycle.Finish(index, TaskState::NotStarted, TaskEndReason::Cancelled);
  } else {
    mLifecycle.OrderStop(index, TaskEndReason::Cancelled, false);
  }
}

void
CoordinatorMessageHandler::CancelUntracked(const protocol::CancelTasks& aCancel,
                                           const TaskKey& aKey)
{
  std::optional<Tombstone> tombstone = mContext.mTombstones.Find(aKey);
  if (tombstone.has_value()) {
    if (tombstone->mReplyToMessages) {
      SendUntrackedUpdate(aCancel.mRoute, aKey, *tombstone);
    }
    return;
  }
  const bool isNew = IsUnknownToEarlierOwners(aCancel.mShardEpoch);
  if (!isNew && !mContext.mRecovered) {
    // It may be running on a worker that is not fenced yet.
    const AttemptIndex index = mContext.mAttempts.Add(aKey);
    Attempt& attempt = mContext.mAttempts.At(index);
    attempt.mPartition = aCancel.mRoute.mPartition;
    attempt.mUnresolved = true;
    attempt.mStopReason = TaskEndReason::Cancelled;
    mUnresolvedAttempts.push_back(mContext.RefOf(index));
    return;
  }
  tombstone =
    Tombstone{ .mState = isNew ? TaskState::NotStarted : TaskState::Lost,
               .mReason = TaskEndReason::Cancelled };
  mContext.mTombstones.Add(aKey, *tombstone, mContext.mNow);
  SendUntrackedUpdate(aCancel.mRoute, aKey, *tombstone);
}

void
CoordinatorMessageHandler::SendUntrackedUpdate(const protocol::Route& aRoute,
                                               const TaskKey& aKey,
                                               const Tombstone& aTombstone)
{
  mContext.mOutbox.Send(
    protocol::TaskUpdate{ .mRoute = mContext.mOutbox.RouteTo(aRoute.mPartition),
                          .mTask = aKey,
                          .mState = aTombstone.mState,
                          .mReason = aTombstone.mReason });
}

void
CoordinatorMessageHandler::Handle(const protocol::UpdateAck& aAck)
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
CoordinatorMessageHandler::Handle(const protocol::ReconcileQuery& aQuery)
{
  if (!IsCurrent(aQuery.mRoute)) {
    return;
  }
  SendReconcileAnswer(aQuery.mRoute.mPartition, aQuery.mRoute.mSequence);
  if (!mContext.mRecovered) {
    mPendingQueries[aQuery.mRoute.mPartition] = aQuery.mRoute.mSequence;
  }
}

void
CoordinatorMessageHandler::SendReconcileAnswer(PartitionId aPartition,
                                               std::uint64_t aQuerySequence)
{
  protocol::ReconcileAnswer answer{ .mRoute =
                                      mContext.mOutbox.RouteTo(aPartition),
                                    .mComplete = mContext.mRecovered };
  // The coordinator matches the answer to its query by this number.
  answer.mRoute.mSequence = aQuerySequence;
  mContext.mAttempts.ForEach([&](AttemptIndex /*aIndex*/,
                                 const Attempt& aAttempt) {
    if (aAttempt.mPartition == aPartition && !aAttempt.mUnresolved) {
      answer.mTasks.push_back({ .mTask = aAttempt.mKey,
                                .mState = aAttempt.mState,
                                .mWorker = mContext.NameOf(aAttempt.mWorker) });
    }
  });
  mContext.mOutbox.Send(std::move(answer));
}

void
CoordinatorMessageHandler::ReturnWaitingTasks()
{
  std::vector<AttemptIndex> waiting;
  mContext.mAttempts.ForEach(
    [&waiting](AttemptIndex aIndex, const Attempt& aAttempt) {
      // This includes held tasks, because a hold ends with its placer.
      if (aAttempt.mState == TaskState::Queued && !aAttempt.mUnresolved) {
        waiting.push_back(aIndex);
      }
    });
  for (const AttemptIndex index : waiting) {
    mLifecycle.Finish(index, TaskState::NotStarted, TaskEndReason::NotOwner);
  }
}

void
CoordinatorMessageHandler::FinishRecovery()
{
  mContext.mRecovered = true;
  const std::vector<AttemptRef> unresolved =
    std::exchange(mUnresolvedAttempts, {});
  const auto isUnresolved = [this](const AttemptRef& aRef) {
    const Attempt* attempt = mContext.Resolve(aRef);
    return attempt != nullptr && attempt->mUnresolved;
  };
  for (const AttemptRef& ref : unresolved) {
    if (isUnresolved(ref)) {
      const TaskEndReason reason = mContext.Resolve(ref)->mStopReason;
      if (reason != TaskEndReason::None) {
        mLifecycle.Finish(ref.mIndex, TaskState::Lost, reason);
      }
    }
  }
  std::set<const Batch*> admitted;
  for (const AttemptRef& ref : unresolved) {
    if (isUnresolved(ref)) {
      const std::shared_ptr<Batch> batch = mContext.Resolve(ref)->mBatch;
      if (admitted.insert(batch.get()).second) {
        Admit(*batch);
      }
    }
  }
  for (const auto& [partition, sequence] : std::exchange(mPendingQueries, {})) {
    SendReconcileAnswer(partition, sequence);
  }
}

void
CoordinatorMessageHandler::RecheckFeasibility()
{
  std::vector<AttemptIndex> waiting;
  mContext.mAttempts.ForEach([&](AttemptIndex aIndex, const Attempt& aAttempt) {
    if (aAttempt.IsWaiting()) {
      waiting.push_back(aIndex);
    }
  });
  for (const AttemptIndex index : waiting) {
    const Attempt& attempt = mContext.mAttempts.At(index);
    const std::optional<Refusal> refusal =
      mCheck.CheckFeasibility(*attempt.mBatch, 1);
    if (refusal.has_value()) {
      mLifecycle.Finish(
        index, TaskState::NotStarted, refusal->mReason, refusal->mAnswer);
    }
  }
}

void
CoordinatorMessageHandler::RemoveUnusedHolds()
{
  for (auto hold = mHoldBatches.begin(); hold != mHoldBatches.end();) {
    std::erase_if(hold->second, [](const std::weak_ptr<Batch>& aBatch) {
      return aBatch.expired();
    });
    hold = hold->second.empty() ? mHoldBatches.erase(hold) : std::next(hold);
  }
}

} // namespace oriolevane::placement
