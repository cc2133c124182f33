#include "placement/internal/placerparts.h"

#include <algorithm>

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;

namespace {

constexpr std::chrono::seconds kRateEvery{ 1 };
// Weight of the latest second in the mean rate of placements.
constexpr double kRateWeight = 0.2;

} // namespace

Placer::Parts::Parts(const PlacerOptions& aOptions)
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
  , mInventory(mContext, mLifecycle, mHealth)
  , mSupervisor(mContext, mLifecycle, mInventory)
  , mIntake(mContext, mLifecycle, mQueue, mGangs)
{
}

void
Placer::Parts::Take(const WorkersListed& aList)
{
  mSupervisor.HandleList(aList);
  RecheckSizesIfChanged();
}

void
Placer::Parts::Take(const protocol::WorkerReport& aReport)
{
  mSupervisor.HandleReport(aReport);
  FinishRecoveryIfSettled();
}

void
Placer::Parts::Take(const WorkerUnreachable& aEvent)
{
  mSupervisor.HandleUnreachable(aEvent);
}

void
Placer::Parts::Take(const protocol::PlaceTasks& aOrder)
{
  mIntake.Handle(aOrder);
}

void
Placer::Parts::Take(const protocol::CommitHold& aCommit)
{
  mIntake.Handle(aCommit);
}

void
Placer::Parts::Take(const protocol::CancelTasks& aCancel)
{
  mIntake.Handle(aCancel);
}

void
Placer::Parts::Take(const protocol::UpdateAck& aAck)
{
  mIntake.Handle(aAck);
}

void
Placer::Parts::Take(const protocol::ReconcileQuery& aQuery)
{
  mIntake.Handle(aQuery);
}

void
Placer::Parts::Take(const PolicyChanged& aChange)
{
  if (aChange.mPolicy->mVersion < mContext.mPolicy->mVersion) {
    return;
  }
  mContext.mPolicy = aChange.mPolicy;
  mContext.mTeams.Apply(*mContext.mPolicy);
  mContext.mWorkloads.Apply(*mContext.mPolicy);
  mSupervisor.HandlePolicy();
  RecheckSizesIfChanged();
}

void
Placer::Parts::Take(const HandOverBegan& /*aEvent*/)
{
  mContext.mHandingOver = true;
  mIntake.GiveBackWaiting();
}

void
Placer::Parts::Take(const OwnershipConfirmed& aEvent)
{
  mContext.mOwnershipConfirmed = aEvent.mConfirmed;
}

void
Placer::Parts::Take(const Tick& /*aTick*/)
{
  while (const std::optional<Timer> timer =
           mContext.mTimers.PopDue(mContext.mNow)) {
    Fire(*timer);
  }
  mContext.mTeams.SetTotal(mContext.mLedger.OpenTotal());
  mContext.mTombstones.DropOld(mContext.mNow);
  FinishRecoveryIfSettled();
  MeasureRate();
}

void
Placer::Parts::Fire(const Timer& aTimer)
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
    case TimerKind::Pressing:
      mQueue.Press(ref);
      return;
    case TimerKind::LatestStart:
      EndIfTooLate(ref);
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
Placer::Parts::RepeatUpdate(AttemptIndex aIndex)
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
Placer::Parts::EndIfTooLate(const AttemptRef& aRef)
{
  const Attempt& attempt = mContext.mAttempts.At(aRef.mIndex);
  if (!attempt.IsWaiting()) {
    return;
  }
  const std::optional<TimePoint> latest = mQueue.LatestStart(*attempt.mBatch);
  if (latest.has_value() && *latest > mContext.mNow) {
    // What was learned since has moved it.
    mContext.mTimers.Add(
      *latest, TimerKind::LatestStart, aRef.mIndex, aRef.mGeneration);
    return;
  }
  mLifecycle.Finish(
    aRef.mIndex, TaskState::NotStarted, TaskEndReason::DeadlinePassed);
}

void
Placer::Parts::FinishRecoveryIfSettled()
{
  if (!mContext.mRecovered && mSupervisor.IsSettled()) {
    mIntake.FinishRecovery();
  }
}

void
Placer::Parts::RecheckSizesIfChanged()
{
  if (mCheckedCapacity != mContext.mCapacityVersion) {
    mCheckedCapacity = mContext.mCapacityVersion;
    mIntake.RecheckSizes();
  }
}

void
Placer::Parts::MeasureRate()
{
  const Duration passed = mContext.mNow - mRateSince;
  if (passed < kRateEvery) {
    return;
  }
  const double seconds = std::chrono::duration<double>(passed).count();
  const double rate =
    static_cast<double>(mContext.mPlaced - mRatePlaced) / seconds;
  mContext.mPlacedPerSecond += kRateWeight * (rate - mContext.mPlacedPerSecond);
  mRateSince = mContext.mNow;
  mRatePlaced = mContext.mPlaced;
  mIntake.Tidy();
}

protocol::ShardDigest
Placer::Parts::MakeDigest()
{
  protocol::ShardDigest digest{
    .mShard = mContext.mOptions.mShard,
    .mEpoch = mContext.mOptions.mEpoch,
    .mOwner = mContext.mOptions.mOwner,
    .mSequence = ++mDigestSequence,
    .mReady = !mContext.mHandingOver && mSupervisor.IsMostlySettled(),
    .mWorkers = mContext.mLedger.OpenCount(),
    .mTotal = mContext.mLedger.OpenTotal(),
    .mFree = mContext.mLedger.OpenTotal() - mContext.mLedger.OpenGranted(),
    .mLargestWorker = {},
    .mLargestFree = mContext.mLedger.LargestFree(),
    .mQueued = mContext.mWaiting,
    .mExpectedWait = mIntake.ExpectedWait()
  };
  for (const Resources& kind : mContext.mCapacityKinds) {
    digest.mLargestWorker = Largest(digest.mLargestWorker, kind);
  }
  return digest;
}

} // namespace oriolevane::placement
