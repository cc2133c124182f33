#include "placement/internal/placerimpl.h"

#include <algorithm>

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;

namespace {

// Interval between measurements of the placement rate.
constexpr std::chrono::seconds kRateInterval{ 1 };
// Weight of the latest measurement in the mean placement rate.
constexpr double kRateWeight = 0.2;

} // namespace

Placer::Impl::Impl(const PlacerOptions& aOptions)
  : mContext(aOptions)
  , mLifecycle(mContext)
  , mHealth(mContext)
  , mReservations(mContext)
  , mQueue(mContext)
  , mPicker(mContext, mHealth, mReservations)
  , mGangs(mContext, mLifecycle, mQueue, mPicker, mReservations)
  , mPreemptor(mContext, mLifecycle, mReservations)
  , mScheduler(mContext,
               mLifecycle,
               mQueue,
               mPicker,
               mGangs,
               mPreemptor,
               mReservations)
  , mInventoryReconciler(mContext, mLifecycle, mHealth)
  , mSupervisor(mContext, mLifecycle, mInventoryReconciler)
  , mMessageHandler(mContext, mLifecycle, mQueue, mGangs)
{
}

void
Placer::Impl::Handle(const WorkersListed& aList)
{
  mSupervisor.HandleList(aList);
  RecheckFeasibilityIfChanged();
}

void
Placer::Impl::Handle(const protocol::WorkerReport& aReport)
{
  mSupervisor.HandleReport(aReport);
  FinishRecoveryIfReconciled();
}

void
Placer::Impl::Handle(const WorkerUnreachable& aEvent)
{
  mSupervisor.HandleUnreachable(aEvent);
}

void
Placer::Impl::Handle(const protocol::PlaceTasks& aPlaceTasks)
{
  mMessageHandler.Handle(aPlaceTasks);
}

void
Placer::Impl::Handle(const protocol::CommitHold& aCommit)
{
  mMessageHandler.Handle(aCommit);
}

void
Placer::Impl::Handle(const protocol::CancelTasks& aCancel)
{
  mMessageHandler.Handle(aCancel);
}

void
Placer::Impl::Handle(const protocol::UpdateAck& aAck)
{
  mMessageHandler.Handle(aAck);
}

void
Placer::Impl::Handle(const protocol::ReconcileQuery& aQuery)
{
  mMessageHandler.Handle(aQuery);
}

void
Placer::Impl::Handle(const PolicyChanged& aChange)
{
  if (aChange.mPolicy->mVersion < mContext.mPolicy->mVersion) {
    return;
  }
  mContext.mPolicy = aChange.mPolicy;
  mContext.mTeams.Apply(*mContext.mPolicy);
  mContext.mWorkloads.Apply(*mContext.mPolicy);
  mSupervisor.HandlePolicy();
  RecheckFeasibilityIfChanged();
}

void
Placer::Impl::Handle(const HandOverBegan& /*aEvent*/)
{
  mContext.mHandingOver = true;
  mMessageHandler.ReturnWaitingTasks();
}

void
Placer::Impl::Handle(const OwnershipConfirmation& aEvent)
{
  mContext.mOwnershipConfirmed = aEvent.mConfirmed;
}

void
Placer::Impl::Handle(const Tick& /*aTick*/)
{
  while (const std::optional<Timer> timer =
           mContext.mTimers.PopDue(mContext.mNow)) {
    HandleTimer(*timer);
  }
  mContext.mTeams.SetShardCapacity(mContext.mLedger.OpenTotal());
  mContext.mTombstones.RemoveExpired(mContext.mNow);
  FinishRecoveryIfReconciled();
  MeasurePlacementRate();
}

void
Placer::Impl::HandleTimer(const Timer& aTimer)
{
  const AttemptRef ref{ .mIndex = aTimer.mIndex,
                        .mGeneration = aTimer.mGeneration };
  switch (aTimer.mKind) {
    case TimerKind::Heartbeat:
      if (mContext.mWorkers.IsCurrent(aTimer.mIndex, aTimer.mGeneration)) {
        mSupervisor.HandleHeartbeat(aTimer.mIndex);
      }
      return;
    case TimerKind::Probe:
      if (mContext.mWorkers.IsCurrent(aTimer.mIndex, aTimer.mGeneration)) {
        mHealth.BeginProbe(aTimer.mIndex);
      }
      return;
    case TimerKind::ReservationEnd:
      mReservations.Expire(aTimer.mIndex);
      return;
    default:
      break;
  }
  const Attempt* attempt = mContext.Resolve(ref);
  if (attempt == nullptr) {
    return;
  }
  switch (aTimer.mKind) {
    case TimerKind::RepeatUpdate:
      RepeatUpdate(ref.mIndex);
      return;
    case TimerKind::NearDeadline:
      mQueue.AddToNearDeadline(ref);
      return;
    case TimerKind::LatestStart:
      EndIfPastLatestStart(ref);
      return;
    case TimerKind::Aging:
      mQueue.Raise(ref);
      return;
    case TimerKind::HoldExpiry:
      if (attempt->mBatch->mHeldUntil.has_value()) {
        mGangs.ReleaseHold(*attempt->mBatch);
      }
      return;
    default:
      return;
  }
}

void
Placer::Impl::RepeatUpdate(AttemptIndex aIndex)
{
  const Attempt& attempt = mContext.mAttempts.At(aIndex);
  if (!attempt.IsFinal() || attempt.mAcknowledged) {
    return;
  }
  mContext.mOutbox.SendState(attempt, mContext.NameOf(attempt.mWorker));
  mContext.mTimers.Add(mContext.mNow + mContext.mOptions.mRepeatUpdateEvery,
                       TimerKind::RepeatUpdate,
                       aIndex,
                       attempt.mGeneration);
}

void
Placer::Impl::EndIfPastLatestStart(const AttemptRef& aRef)
{
  const Attempt& attempt = mContext.mAttempts.At(aRef.mIndex);
  if (!attempt.IsWaiting()) {
    return;
  }
  const std::optional<TimePoint> latest = mQueue.LatestStart(*attempt.mBatch);
  if (latest.has_value() && *latest > mContext.mNow) {
    // The run time estimate has changed since the timer was set, so the latest
    // start is later now.
    mContext.mTimers.Add(
      *latest, TimerKind::LatestStart, aRef.mIndex, aRef.mGeneration);
    return;
  }
  mLifecycle.Finish(
    aRef.mIndex, TaskState::NotStarted, TaskEndReason::DeadlinePassed);
}

void
Placer::Impl::FinishRecoveryIfReconciled()
{
  if (!mContext.mRecovered && mSupervisor.IsReconciled()) {
    mMessageHandler.FinishRecovery();
  }
}

void
Placer::Impl::RecheckFeasibilityIfChanged()
{
  if (mCheckedCapacityVersion != mContext.mCapacityVersion) {
    mCheckedCapacityVersion = mContext.mCapacityVersion;
    mMessageHandler.RecheckFeasibility();
  }
}

void
Placer::Impl::MeasurePlacementRate()
{
  const Duration passed = mContext.mNow - mRateMeasuredAt;
  if (passed < kRateInterval) {
    return;
  }
  const double seconds = std::chrono::duration<double>(passed).count();
  const double rate =
    static_cast<double>(mContext.mPlacedCount - mRatePlacedCount) / seconds;
  mContext.mPlacedPerSecond += kRateWeight * (rate - mContext.mPlacedPerSecond);
  mRateMeasuredAt = mContext.mNow;
  mRatePlacedCount = mContext.mPlacedCount;
  mMessageHandler.RemoveUnusedHolds();
}

protocol::ShardDigest
Placer::Impl::MakeDigest()
{
  protocol::ShardDigest digest{
    .mShard = mContext.mOptions.mShard,
    .mEpoch = mContext.mOptions.mEpoch,
    .mOwner = mContext.mOptions.mOwner,
    .mSequence = ++mDigestSequence,
    .mReady = !mContext.mHandingOver && mSupervisor.IsMostlyReconciled(),
    .mWorkers = mContext.mLedger.OpenCount(),
    .mTotal = mContext.mLedger.OpenTotal(),
    .mFree = mContext.mLedger.OpenTotal() - mContext.mLedger.OpenGranted(),
    .mLargestWorker = {},
    .mLargestFree = mContext.mLedger.LargestFree(),
    .mQueued = mContext.mWaitingByUrgency,
    .mExpectedWait = mMessageHandler.ExpectedWait()
  };
  for (const Resources& kind : mContext.mCapacityKinds) {
    digest.mLargestWorker = ComponentwiseMax(digest.mLargestWorker, kind);
  }
  return digest;
}

} // namespace oriolevane::placement
