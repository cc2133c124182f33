#include "placement/internal/workersupervisor.h"

#include <algorithm>
#include <utility>

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;

namespace {

// A lease has certainly expired after 5/4 of its length, because the clock
// rates of workers and placers are assumed to differ by at most a quarter.
constexpr int kLeaseExpiryNumerator = 5;
constexpr int kLeaseExpiryDenominator = 4;
// Past incarnations remembered per worker.
constexpr std::size_t kMaxPastIncarnations = 8;
// At most one worker in this many may be unreconciled for IsMostlyReconciled().
constexpr std::uint32_t kMostlyReconciledDivisor = 10;
// Leases are renewed at once when a report arrives after a silence longer than
// the lease divided by this number.
constexpr int kUrgentRenewalDivisor = 3;
// The first heartbeats are spread over one interval in this many steps.
constexpr std::uint32_t kHeartbeatSteps = 64;

} // namespace

WorkerSupervisor::WorkerSupervisor(PlacerContext& aContext,
                                   AttemptLifecycle& aLifecycle,
                                   InventoryReconciler& aInventory)
  : mContext(aContext)
  , mLifecycle(aLifecycle)
  , mInventoryReconciler(aInventory)
{
}

void
WorkerSupervisor::HandleList(const WorkersListed& aList)
{
  mHasList = true;
  mContext.mWorkers.ForEach([](WorkerIndex /*aIndex*/, WorkerRecord& aWorker) {
    aWorker.mListed = false;
  });
  for (const protocol::WorkerInfo& info : aList.mWorkers) {
    AddWorker(info);
  }
  mContext.mWorkers.ForEach(
    [this](WorkerIndex aIndex, WorkerRecord& /*aWorker*/) {
      mContext.UpdateAvailability(aIndex);
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
  ++mUnreconciledCount;
  ++mWorkerCount;
  worker.mLastReportAt = mContext.mNow;
  mContext.ScheduleCommand(index);
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
    mContext.mFreedWorkers.InvalidateAll();
  }
  mContext.mTeams.SetShardCapacity(mContext.mLedger.OpenTotal());
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
  if (!IsCurrentReport(index, aReport)) {
    return;
  }
  if (worker.mIncarnation != aReport.mIncarnation) {
    SwitchIncarnation(index, aReport.mIncarnation);
  }
  worker.mReportSequence = aReport.mSequence;
  worker.mClock = aReport.mClock;
  const Duration silence = mContext.mNow - worker.mLastReportAt;
  if (worker.mGrantedAttempts > 0 &&
      silence >
        Duration{ mContext.mOptions.mTaskLease } / kUrgentRenewalDivisor) {
    // The command that this report answers anchored the leases to a report from
    // before the silence.
    mContext.ScheduleCommand(index);
  }
  worker.mLastReportAt = mContext.mNow;
  worker.mReportsLeaving = aReport.mLeaving;
  worker.mUnreachable = false;
  worker.mSilent = false;
  worker.mLeasesExpired = false;
  if (aReport.mHighestEpoch < mContext.mOptions.mEpoch) {
    // An owner with an earlier epoch may still start tasks on the worker.
    worker.mEpochAccepted = false;
    mContext.ScheduleCommand(index);
  } else {
    const bool isFirst = !worker.mEpochAccepted;
    worker.mEpochAccepted = true;
    MarkReconciled(worker);
    mInventoryReconciler.Reconcile(index, aReport);
    if (isFirst && worker.mGrantedAttempts > 0) {
      // Renew the leases that the previous owner granted.
      mContext.ScheduleCommand(index);
    }
  }
  mContext.UpdateAvailability(index);
}

bool
WorkerSupervisor::IsCurrentReport(WorkerIndex aWorker,
                                  const protocol::WorkerReport& aReport)
{
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  const std::vector<Incarnation>& past = worker.mPastIncarnations;
  if (std::find(past.begin(), past.end(), aReport.mIncarnation) != past.end()) {
    return false;
  }
  if (worker.mIncarnation == Incarnation{}) {
    return true;
  }
  if (worker.mIncarnation != aReport.mIncarnation) {
    return IsProvenCurrent(aWorker, aReport);
  }
  if (worker.mCandidateIncarnation != Incarnation{} &&
      aReport.mHighestEpoch == mContext.mOptions.mEpoch &&
      aReport.mCommandSequence >= worker.mCandidateSequence) {
    AddPastIncarnation(worker, worker.mCandidateIncarnation);
    worker.mCandidateIncarnation = {};
  }
  return aReport.mSequence > worker.mReportSequence;
}

bool
WorkerSupervisor::IsProvenCurrent(WorkerIndex aWorker,
                                  const protocol::WorkerReport& aReport)
{
  // A delayed report can come from an incarnation that was never seen but is
  // older than the current one. Only the running incarnation can apply a
  // command that is sent from now on.
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  if (worker.mCandidateIncarnation == aReport.mIncarnation) {
    return aReport.mHighestEpoch == mContext.mOptions.mEpoch &&
           aReport.mCommandSequence >= worker.mCandidateSequence;
  }
  worker.mCandidateIncarnation = aReport.mIncarnation;
  worker.mCandidateSequence = worker.mCommandSequence + 1;
  mContext.ScheduleCommand(aWorker);
  return false;
}

void
WorkerSupervisor::AddPastIncarnation(WorkerRecord& aWorker,
                                     Incarnation aIncarnation)
{
  aWorker.mPastIncarnations.push_back(aIncarnation);
  if (aWorker.mPastIncarnations.size() > kMaxPastIncarnations) {
    aWorker.mPastIncarnations.erase(aWorker.mPastIncarnations.begin());
  }
}

void
WorkerSupervisor::SwitchIncarnation(WorkerIndex aWorker,
                                    Incarnation aIncarnation)
{
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  if (worker.mIncarnation != Incarnation{}) {
    AddPastIncarnation(worker, worker.mIncarnation);
  }
  worker.mCandidateIncarnation = {};
  worker.mIncarnation = aIncarnation;
  worker.mReportSequence = 0;
  worker.mEpochAccepted = false;
  mInventoryReconciler.EndAllAfterRestart(aWorker);
  worker.mOrders.clear();
  mContext.ScheduleCommand(aWorker);
}

void
WorkerSupervisor::HandleUnreachable(const WorkerUnreachable& aEvent)
{
  const WorkerIndex index = mContext.mWorkers.Find(aEvent.mWorker);
  if (index == kNoWorker) {
    return;
  }
  mContext.mWorkers.At(index).mUnreachable = true;
  mContext.UpdateAvailability(index);
}

void
WorkerSupervisor::HandlePolicy()
{
  mContext.mWorkers.ForEach([this](WorkerIndex aIndex, WorkerRecord& aWorker) {
    aWorker.mDrained =
      mContext.mPolicy->mDrainedWorkers.contains(aWorker.mInfo.mWorker);
    mContext.mLedger.SetCapacity(
      aIndex, aWorker.mInfo.mCapacity, mContext.mPolicy->mGrantablePerMille);
    mContext.UpdateAvailability(aIndex);
  });
  UpdateCapacityKinds();
  mContext.mFreedWorkers.InvalidateAll();
}

void
WorkerSupervisor::HandleHeartbeat(WorkerIndex aWorker)
{
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  CheckSilence(aWorker);
  if (!worker.mListed && worker.mLeasesExpired) {
    mInventoryReconciler.EndAllAfterLapse(aWorker);
  }
  if (!worker.mListed && worker.mAttempts.empty()) {
    EraseWorker(aWorker);
    return;
  }
  mContext.ScheduleCommand(aWorker);
  const Duration every = mContext.mOptions.mHeartbeatEvery;
  const bool isOverdue = mContext.mNow - worker.mLastReportAt > every;
  mContext.mTimers.Add(mContext.mNow + (isOverdue ? every / 2 : every),
                       TimerKind::Heartbeat,
                       aWorker,
                       worker.mGeneration);
}

void
WorkerSupervisor::CheckSilence(WorkerIndex aWorker)
{
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  const Duration silence = mContext.mNow - worker.mLastReportAt;
  if (!worker.mSilent && silence >= mContext.mOptions.mSilenceUntilUnknown) {
    worker.mSilent = true;
    mContext.UpdateAvailability(aWorker);
    mInventoryReconciler.MarkAllUnknown(aWorker);
  }
  const Duration leaseExpiry = Duration{ mContext.mOptions.mTaskLease } *
                               kLeaseExpiryNumerator / kLeaseExpiryDenominator;
  if (!worker.mLeasesExpired && silence > leaseExpiry &&
      mContext.mOwnershipConfirmed) {
    worker.mLeasesExpired = true;
    MarkReconciled(worker);
    mInventoryReconciler.EndAllAfterLapse(aWorker);
  }
}

void
WorkerSupervisor::EraseWorker(WorkerIndex aWorker)
{
  mContext.mLedger.SetOpen(aWorker, false);
  mContext.mLedger.SetCapacity(aWorker, Resources{}, 0);
  mContext.mCapacityIndex.Remove(aWorker);
  WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  if (worker.mHealth.mState != HealthState::Healthy) {
    --mContext.mQuarantinedWorkers;
  }
  if (worker.mHealth.mThrottled) {
    --mContext.mThrottledWorkers;
  }
  MarkReconciled(worker);
  --mWorkerCount;
  std::erase(mContext.mCommandsDue, aWorker);
  mContext.mWorkers.Erase(aWorker);
}

void
WorkerSupervisor::SendScheduledCommands()
{
  for (const WorkerIndex index : std::exchange(mContext.mCommandsDue, {})) {
    WorkerRecord& worker = mContext.mWorkers.At(index);
    worker.mCommandDue = false;
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
  if (!aWorker.mEpochAccepted ||
      aWorker.mCandidateIncarnation != Incarnation{}) {
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
                                 attempt.mBatch->mPlaceTasks.mNeverRepeat,
                               .mService = attempt.mBatch->mPlaceTasks.mService,
                               .mPayload =
                                 attempt.mBatch->mPlaceTasks.mPayload };
}

void
WorkerSupervisor::MarkReconciled(WorkerRecord& aWorker)
{
  if (!aWorker.mReconciled) {
    aWorker.mReconciled = true;
    --mUnreconciledCount;
  }
}

bool
WorkerSupervisor::IsMostlyReconciled() const
{
  return mHasList &&
         mUnreconciledCount * kMostlyReconciledDivisor <= mWorkerCount;
}

} // namespace oriolevane::placement
