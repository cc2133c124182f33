#include "placement/internal/attemptlifecycle.h"

#include <algorithm>
#include <utility>

#include "placement/internal/trailtext.h"

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;

bool
AttemptLifecycle::Grant(AttemptIndex aIndex, WorkerIndex aWorker)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  if (!mContext.mLedger.TryGrant(aWorker, attempt.mResources)) {
    return false;
  }
  mContext.mTeams.Grant(attempt.mBatch->mTeam, attempt.mResources);
  mContext.CountWaiting(attempt, -1);
  attempt.mResourcesGranted = true;
  ++mContext.mWorkers.At(aWorker).mGrantedAttempts;
  Attach(aIndex, aWorker);
  CountForSpread(attempt, 1);
  mContext.UpdateAvailability(aWorker);
  return true;
}

void
AttemptLifecycle::Revoke(AttemptIndex aIndex)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  ReleaseGrant(attempt);
  Detach(aIndex);
  mContext.CountWaiting(attempt, 1);
}

void
AttemptLifecycle::Start(AttemptIndex aIndex)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  attempt.mPlacedAt = mContext.mNow;
  AddOrder(
    attempt.mWorker,
    { .mKind = OrderKind::Start, .mTask = attempt.mKey, .mAttempt = aIndex });
  ++mContext.mPlacedCount;
  mContext.mOutbox.AddTrailNote(
    attempt.mKey.mRequest,
    "placed",
    DescribePlacement(attempt.mKey, mContext.NameOf(attempt.mWorker)));
  SetState(aIndex, TaskState::Starting);
}

void
AttemptLifecycle::Adopt(AttemptIndex aIndex, WorkerIndex aWorker)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  if (attempt.IsWaiting()) {
    mContext.CountWaiting(attempt, -1);
  }
  attempt.mUnresolved = false;
  attempt.mResourcesGranted = true;
  attempt.mReported = true;
  attempt.mPlacedAt = mContext.mNow;
  mContext.mLedger.AddExistingGrant(aWorker, attempt.mResources);
  if (attempt.mBatch != nullptr) {
    mContext.mTeams.Grant(attempt.mBatch->mTeam, attempt.mResources);
  }
  ++mContext.mWorkers.At(aWorker).mGrantedAttempts;
  Attach(aIndex, aWorker);
  CountForSpread(attempt, 1);
  mContext.UpdateAvailability(aWorker);
}

void
AttemptLifecycle::AssignBatch(AttemptIndex aIndex,
                              const std::shared_ptr<Batch>& aBatch)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  aBatch->mMembers.push_back(mContext.RefOf(aIndex));
  attempt.mBatch = aBatch;
  if (attempt.mResourcesGranted) {
    mContext.mTeams.Grant(aBatch->mTeam, attempt.mResources);
    CountForSpread(attempt, 1);
  }
}

void
AttemptLifecycle::SetState(AttemptIndex aIndex, TaskState aState)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  if (attempt.mState == aState) {
    return;
  }
  attempt.mState = aState;
  mContext.mOutbox.SendState(attempt, mContext.NameOf(attempt.mWorker));
}

void
AttemptLifecycle::OrderStop(AttemptIndex aIndex,
                            TaskEndReason aReason,
                            bool aCheckpoint)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  const bool isNew = attempt.mStopReason == TaskEndReason::None;
  const bool isStronger = attempt.mStopReason == TaskEndReason::Preempted &&
                          aReason == TaskEndReason::Cancelled;
  if (!isNew && !isStronger) {
    return;
  }
  attempt.mStopReason = aReason;
  RemoveStartOrder(attempt);
  AddOrder(
    attempt.mWorker,
    { .mKind = aCheckpoint ? OrderKind::StopWithCheckpoint : OrderKind::Stop,
      .mTask = attempt.mKey });
}

void
AttemptLifecycle::Finish(AttemptIndex aIndex,
                         TaskState aState,
                         TaskEndReason aReason,
                         std::string aAnswer)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  if (attempt.IsWaiting()) {
    mContext.CountWaiting(attempt, -1);
  }
  const WorkerId worker = mContext.NameOf(attempt.mWorker);
  if (attempt.mResourcesGranted) {
    ReleaseGrant(attempt);
    mContext.mFreedWorkers.Add(attempt.mWorker);
  }
  RemoveStartOrder(attempt);
  if (attempt.mStartSequence == 0 && !attempt.mReported) {
    Detach(aIndex);
  }
  attempt.mUnresolved = false;
  attempt.mState = aState;
  attempt.mReason = aReason;
  attempt.mAnswer = std::move(aAnswer);
  mContext.mOutbox.SendState(attempt, worker);
  mContext.mOutbox.AddTrailNote(
    attempt.mKey.mRequest, "ended", DescribeEnd(attempt.mKey, aState, aReason));
  mContext.mTimers.Add(mContext.mNow + mContext.mOptions.mRepeatUpdateEvery,
                       TimerKind::RepeatUpdate,
                       aIndex,
                       attempt.mGeneration);
}

void
AttemptLifecycle::Acknowledge(AttemptIndex aIndex)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  if (!attempt.IsFinal() || attempt.mAcknowledged) {
    return;
  }
  attempt.mAcknowledged = true;
  attempt.mAnswer.clear();
  if (attempt.mKeptByWorker) {
    AddOrder(attempt.mWorker,
             { .mKind = OrderKind::Forget, .mTask = attempt.mKey });
  }
  EraseIfDone(aIndex);
}

bool
AttemptLifecycle::EraseIfDone(AttemptIndex aIndex)
{
  const Attempt& attempt = mContext.mAttempts.At(aIndex);
  if (!attempt.mAcknowledged || attempt.mKeptByWorker ||
      attempt.mMayStillBeListed) {
    return false;
  }
  Detach(aIndex);
  mContext.mTombstones.Add(attempt.mKey,
                           { .mState = attempt.mState,
                             .mReason = attempt.mReason,
                             .mReplyToMessages = false },
                           mContext.mNow);
  mContext.mAttempts.Erase(aIndex);
  return true;
}

void
AttemptLifecycle::Detach(AttemptIndex aIndex)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  if (attempt.mWorker == kNoWorker) {
    return;
  }
  std::vector<AttemptIndex>& attempts =
    mContext.mWorkers.At(attempt.mWorker).mAttempts;
  const AttemptIndex last = attempts.back();
  attempts[attempt.mPosition] = last;
  mContext.mAttempts.At(last).mPosition = attempt.mPosition;
  attempts.pop_back();
  attempt.mWorker = kNoWorker;
  attempt.mKeptByWorker = false;
  attempt.mMayStillBeListed = false;
}

void
AttemptLifecycle::AddOrder(WorkerIndex aWorker, PendingOrder aOrder)
{
  mContext.mWorkers.At(aWorker).mOrders.push_back(std::move(aOrder));
  mContext.ScheduleCommand(aWorker);
}

void
AttemptLifecycle::Attach(AttemptIndex aIndex, WorkerIndex aWorker)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  if (attempt.mWorker == aWorker) {
    return;
  }
  Detach(aIndex);
  std::vector<AttemptIndex>& attempts = mContext.mWorkers.At(aWorker).mAttempts;
  attempt.mWorker = aWorker;
  attempt.mPosition = static_cast<std::uint32_t>(attempts.size());
  attempts.push_back(aIndex);
}

void
AttemptLifecycle::ReleaseGrant(Attempt& aAttempt)
{
  CountForSpread(aAttempt, -1);
  aAttempt.mResourcesGranted = false;
  mContext.mLedger.Release(aAttempt.mWorker, aAttempt.mResources);
  if (aAttempt.mBatch != nullptr) {
    mContext.mTeams.Release(aAttempt.mBatch->mTeam, aAttempt.mResources);
  }
  --mContext.mWorkers.At(aAttempt.mWorker).mGrantedAttempts;
  mContext.UpdateAvailability(aAttempt.mWorker);
}

void
AttemptLifecycle::CountForSpread(const Attempt& aAttempt, int aChange)
{
  if (aAttempt.mBatch == nullptr) {
    return;
  }
  const WorkloadRecord& workload =
    mContext.mWorkloads.At(aAttempt.mBatch->mWorkload);
  if (workload.mPolicy.mSpread == policy::Spread::None &&
      !aAttempt.mBatch->mSpreadCounted) {
    return;
  }
  aAttempt.mBatch->mSpreadCounted = true;
  const WorkerRecord& worker = mContext.mWorkers.At(aAttempt.mWorker);
  mContext.mSpreadCounts.Change(
    aAttempt.mKey.mRequest, worker.mZone, worker.mRack, aChange);
}

void
AttemptLifecycle::RemoveStartOrder(const Attempt& aAttempt)
{
  if (aAttempt.mWorker == kNoWorker) {
    return;
  }
  std::erase_if(mContext.mWorkers.At(aAttempt.mWorker).mOrders,
                [&](const PendingOrder& aOrder) {
                  return aOrder.mKind == OrderKind::Start &&
                         aOrder.mTask == aAttempt.mKey;
                });
}

} // namespace oriolevane::placement
