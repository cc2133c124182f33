#include "placement/internal/workersupervisor.h"

#include <algorithm>
#include <utility>

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;

namespace {

// Clocks of workers and placers may differ in rate by at most a quarter.
constexpr int kLapseNumerator = 5;
constexpr int kLapseDenominator = 4;
constexpr std::size_t kRetiredKept = 8;
constexpr std::uint32_t kMostlySettledDivisor = 10;
// After a silence of this part of the lease, leases are renewed at once.
constexpr int kUrgentRenewal = 3;
// First heartbeats are spread over the interval in this many steps.
constexpr std::uint32_t kHeartbeatSteps = 64;

} // namespace

WorkerSupervisor::WorkerSupervisor(PlacerContext& aContext,
                                   AttemptLifecycle& aLifecycle,
                                   Inventory& aInventory)
  : mContext(aContext)
  , mLifecycle(aLifecycle)
  , mInventory(aInventory)
{
}

void
WorkerSupervisor::HandleList(const WorkersListed& aList)
{
  mListSeen = true;
  mContext.mWorkers.ForEach([](WorkerIndex /*aIndex*/, WorkerRecord& aWorker) {
    aWorker.mListed = false;
  });
  for (const protocol::WorkerInfo& info : aList.mWorkers) {
    AddWorker(info);
  }
  mContext.mWorkers.ForEach(
    [this](WorkerIndex aIndex, WorkerRecord& /*aWorker*/) {
      mContext.Refresh(aIndex);
    });
  UpdateCapacityKinds();
}

void
WorkerSupervisor::AddWorker(const protocol::WorkerInfo& aInfo)
{
  const bool isNew = mContext.mWorkers.Find(aInfo.mWorker) == kNoWorker;
  const WorkerIndex index = mContext.mWorkers.Put(aInfo);
  WorkerRecord& worker = mContext.mWorkers.At(index);
  worker.mDrained = mContext.mPolicy->mDrainedWorkers.contains(aInfo.mWorker);
  mContext.mLedger.SetCapacity(
    index, aInfo.mCapacity, mContext.mPolicy->mGrantablePerMille);
  if (!isNew) {
    return;
  }
  ++mUnsettled;
  ++mWorkers;
  worker.mHeardAt = mContext.mNow;
  mContext.MarkDirty(index);
  const auto step = mContext.mOptions.mHeartbeatEvery / kHeartbeatSteps;
  mContext.mTimers.Add(mContext.mNow + mContext.mOptions.mHeartbeatEvery +
                         step * (index % kHeartbeatSteps),
                       TimerKind::Heartbeat,
                       index,
                       worker.mGeneration);
}

void
WorkerSupervisor::UpdateCapacityKinds()
{
  std::vector<Resources> kinds;
  const auto isKnown = [&kinds](const Resources& aCapacity) {
    return std::find(kinds.begin(), kinds.end(), aCapacity) != kinds.end();
  };
  mContext.mWorkers.ForEach([&](WorkerIndex aIndex, WorkerRecord& aWorker) {
    const Resources& grantable = mContext.mLedger.At(aIndex).mGrantable;
    if (aWorker.mListed && !aWorker.mInfo.mLeaving && !isKnown(grantable)) {
      kinds.push_back(grantable);
    }
  });
  if (kinds != mContext.mCapacityKinds) {
    mContext.mCapacityKinds = std::move(kinds);
    ++mContext.mCapacityVersion;
    mContext.mFreed.InvalidateAll();
  }
  mContext.mTeams.SetTotal(mContext.mLedger.OpenTotal());
}

void
WorkerSupervisor::HandleReport(const protocol::WorkerReport& aReport)
{
  const WorkerIndex index = mContext.mWorkers.Find(aReport.mWorker);
  if (index == kNoWorker || aReport.mShard != mContext.mOptions.mShard) {
    return;
  }
  if (aReport.mHighestEpoch > mContext.mOptions.mEpoch) {
    mContext.mDeposed = true;
    return;
  }
  WorkerRecord& worker = mContext.mWorkers.At(index);
  if (!IsNews(index, aReport)) {
    return;
  }
  if (worker.mIncarnation != aReport.mIncarnation) {
    SwitchIncarnation(index, aReport.mIncarnation);
  }
  worker.mReportSequence = aReport.mSequence;
  worker.mClock = aReport.mClock;
  const Duration silence = mContext.mNow - worker.mHeardAt;
  if (worker.mLive > 0 &&
      silence > Duration{ mContext.mOptions.mTaskLease } / kUrgentRenewal) {
    // The command that this answers was still anchored before the silence.
    mContext.MarkDirty(index);
  }
  worker.mHeardAt = mContext.mNow;
  worker.mSaysLeaving = aReport.mLeaving;
  worker.mSuspect = false;
  worker.mSilent = false;
  worker.mLapsed = false;
  if (aReport.mHighestEpoch < mContext.mOptions.mEpoch) {
    // Its inventory may still grow under the earlier epoch.
    worker.mFenced = false;
    mContext.MarkDirty(index);
  } else {
    const bool isFirst = !worker.mFenced;
    worker.mFenced = true;
    Settle(worker);
    mInventory.Compare(index, aReport);
    if (isFirst && worker.mLive > 0) {
      // Renews the leases that the previous owner granted.
      mContext.MarkDirty(index);
    }
  }
  mContext.Refresh(index);
}

bool
WorkerSupervisor::IsNews(WorkerIndex aWorker,
                         const protocol::WorkerReport& aReport)
{
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  const std::vector<Incarnation>& retired = worker.mRetired;
  if (std::find(retired.begin(), retired.end(), aReport.mIncarnation) !=
      retired.end()) {
    return false;
  }
  if (worker.mIncarnation == Incarnation{}) {
    return true;
  }
  if (worker.mIncarnation != aReport.mIncarnation) {
    return HasProvedCurrent(aWorker, aReport);
  }
  if (worker.mChallenger != Incarnation{} &&
      aReport.mHighestEpoch == mContext.mOptions.mEpoch &&
      aReport.mCommandSequence >= worker.mChallengeSequence) {
    Retire(worker, worker.mChallenger);
    worker.mChallenger = {};
  }
  return aReport.mSequence > worker.mReportSequence;
}

bool
WorkerSupervisor::HasProvedCurrent(WorkerIndex aWorker,
                                   const protocol::WorkerReport& aReport)
{
  // A report may be late: an incarnation that was never seen can be older than
  // the current one. Only a living one applies a command sent after now.
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  if (worker.mChallenger == aReport.mIncarnation) {
    return aReport.mHighestEpoch == mContext.mOptions.mEpoch &&
           aReport.mCommandSequence >= worker.mChallengeSequence;
  }
  worker.mChallenger = aReport.mIncarnation;
  worker.mChallengeSequence = worker.mCommandSequence + 1;
  mContext.MarkDirty(aWorker);
  return false;
}

void
WorkerSupervisor::Retire(WorkerRecord& aWorker, Incarnation aIncarnation)
{
  aWorker.mRetired.push_back(aIncarnation);
  if (aWorker.mRetired.size() > kRetiredKept) {
    aWorker.mRetired.erase(aWorker.mRetired.begin());
  }
}

void
WorkerSupervisor::SwitchIncarnation(WorkerIndex aWorker,
                                    Incarnation aIncarnation)
{
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  if (worker.mIncarnation != Incarnation{}) {
    Retire(worker, worker.mIncarnation);
  }
  worker.mChallenger = {};
  worker.mIncarnation = aIncarnation;
  worker.mReportSequence = 0;
  worker.mFenced = false;
  mInventory.LoseAll(aWorker);
  worker.mOrders.clear();
  mContext.MarkDirty(aWorker);
}

void
WorkerSupervisor::HandleUnreachable(const WorkerUnreachable& aEvent)
{
  const WorkerIndex index = mContext.mWorkers.Find(aEvent.mWorker);
  if (index == kNoWorker) {
    return;
  }
  mContext.mWorkers.At(index).mSuspect = true;
  mContext.Refresh(index);
}

void
WorkerSupervisor::HandlePolicy()
{
  mContext.mWorkers.ForEach([this](WorkerIndex aIndex, WorkerRecord& aWorker) {
    aWorker.mDrained =
      mContext.mPolicy->mDrainedWorkers.contains(aWorker.mInfo.mWorker);
    mContext.mLedger.SetCapacity(
      aIndex, aWorker.mInfo.mCapacity, mContext.mPolicy->mGrantablePerMille);
    mContext.Refresh(aIndex);
  });
  UpdateCapacityKinds();
  mContext.mFreed.InvalidateAll();
}

void
WorkerSupervisor::HandleHeartbeat(WorkerIndex aWorker)
{
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  CheckSilence(aWorker);
  if (!worker.mListed && worker.mLapsed) {
    mInventory.GiveUpAll(aWorker);
  }
  if (!worker.mListed && worker.mAttempts.empty()) {
    EraseIfGone(aWorker);
    return;
  }
  mContext.MarkDirty(aWorker);
  const Duration every = mContext.mOptions.mHeartbeatEvery;
  const bool isOverdue = mContext.mNow - worker.mHeardAt > every;
  mContext.mTimers.Add(mContext.mNow + (isOverdue ? every / 2 : every),
                       TimerKind::Heartbeat,
                       aWorker,
                       worker.mGeneration);
}

void
WorkerSupervisor::CheckSilence(WorkerIndex aWorker)
{
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  const Duration silence = mContext.mNow - worker.mHeardAt;
  if (!worker.mSilent && silence >= mContext.mOptions.mSilenceUntilUnknown) {
    worker.mSilent = true;
    mContext.Refresh(aWorker);
    mInventory.DoubtAll(aWorker);
  }
  const Duration lapse = Duration{ mContext.mOptions.mTaskLease } *
                         kLapseNumerator / kLapseDenominator;
  if (!worker.mLapsed && silence > lapse && mContext.mOwnershipConfirmed) {
    worker.mLapsed = true;
    Settle(worker);
    mInventory.GiveUpAll(aWorker);
  }
}

void
WorkerSupervisor::EraseIfGone(WorkerIndex aWorker)
{
  mContext.mLedger.SetOpen(aWorker, false);
  mContext.mLedger.SetCapacity(aWorker, Resources{}, 0);
  mContext.mIndex.Remove(aWorker);
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  if (worker.mHealth.mState != HealthState::Healthy) {
    --mContext.mQuarantined;
  }
  if (worker.mHealth.mCautious) {
    --mContext.mCautious;
  }
  Settle(worker);
  --mWorkers;
  std::erase(mContext.mDirty, aWorker);
  mContext.mWorkers.Erase(aWorker);
}

void
WorkerSupervisor::Flush()
{
  for (const WorkerIndex index : std::exchange(mContext.mDirty, {})) {
    WorkerRecord& worker = mContext.mWorkers.At(index);
    worker.mDirty = false;
    mContext.mOutbox.Add(SendToWorker{ .mCommand = BuildCommand(worker) });
  }
}

protocol::WorkerCommand
WorkerSupervisor::BuildCommand(WorkerRecord& aWorker)
{
  protocol::WorkerCommand command{ .mWorker = aWorker.mInfo.mWorker,
                                   .mShard = mContext.mOptions.mShard,
                                   .mEpoch = mContext.mOptions.mEpoch,
                                   .mSequence = ++aWorker.mCommandSequence };
  aWorker.mSentAt = mContext.mNow;
  if (!aWorker.mFenced || aWorker.mChallenger != Incarnation{}) {
    return command;
  }
  command.mIncarnation = aWorker.mIncarnation;
  command.mLeaseAnchor = aWorker.mClock;
  command.mLeaseFor = mContext.mOptions.mTaskLease;
  command.mOrders.reserve(aWorker.mOrders.size());
  for (PendingOrder& pending : aWorker.mOrders) {
    if (pending.mFirstSequence == 0) {
      pending.mFirstSequence = command.mSequence;
      if (pending.mKind == OrderKind::Start) {
        mContext.mAttempts.At(pending.mAttempt).mStartSequence =
          command.mSequence;
      }
    }
    command.mOrders.push_back(BuildOrder(pending));
  }
  return command;
}

protocol::WorkerOrder
WorkerSupervisor::BuildOrder(const PendingOrder& aPending) const
{
  switch (aPending.mKind) {
    case OrderKind::Stop:
      return protocol::StopOrder{ .mTask = aPending.mTask };
    case OrderKind::StopWithCheckpoint:
      return protocol::StopOrder{ .mTask = aPending.mTask,
                                  .mCheckpoint = true };
    case OrderKind::Forget:
      return protocol::ForgetOrder{ .mTask = aPending.mTask };
    case OrderKind::Start:
      break;
  }
  const Attempt& attempt = mContext.mAttempts.At(aPending.mAttempt);
  return protocol::StartOrder{ .mTask = attempt.mKey,
                               .mPartition = attempt.mPartition,
                               .mResources = attempt.mResources,
                               .mNeverRepeat =
                                 attempt.mBatch->mOrder.mNeverRepeat,
                               .mService = attempt.mBatch->mOrder.mService,
                               .mPayload = attempt.mBatch->mOrder.mPayload };
}

void
WorkerSupervisor::Settle(WorkerRecord& aWorker)
{
  if (!aWorker.mSettled) {
    aWorker.mSettled = true;
    --mUnsettled;
  }
}

bool
WorkerSupervisor::IsMostlySettled() const
{
  return mListSeen && mUnsettled * kMostlySettledDivisor <= mWorkers;
}

} // namespace oriolevane::placement
