#include "placement/internal/inventoryreconciler.h"

#include <algorithm>

#include "placement/internal/healthmonitor.h"

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;

InventoryReconciler::InventoryReconciler(PlacerContext& aContext,
                                         AttemptLifecycle& aLifecycle,
                                         HealthMonitor& aHealth)
  : mContext(aContext)
  , mLifecycle(aLifecycle)
  , mHealth(aHealth)
{
}

void
InventoryReconciler::Reconcile(WorkerIndex aWorker,
                               const protocol::WorkerReport& aReport)
{
  for (const protocol::RunningTask& task : aReport.mRunning) {
    HandleRunning(aWorker, task, aReport.mSequence);
  }
  for (const protocol::EndedTask& task : aReport.mEnded) {
    HandleEnded(aWorker, task, aReport.mSequence);
  }
  RemoveAppliedOrders(aWorker, aReport);
  HandleUnlisted(aWorker, aReport);
}

void
InventoryReconciler::HandleRunning(WorkerIndex aWorker,
                                   const protocol::RunningTask& aTask,
                                   std::uint64_t aReportSequence)
{
  AttemptIndex index = mContext.mAttempts.Find(aTask.mTask);
  if (index == kNoAttempt) {
    index = AddReported(aTask.mTask, aTask.mPartition);
    mContext.mAttempts.At(index).mResources = aTask.mResources;
  }
  Attempt& attempt = mContext.mAttempts.At(index);
  if (attempt.IsFinal() ||
      (attempt.mWorker != kNoWorker && attempt.mWorker != aWorker)) {
    // The coordinator has been told of its end, or it belongs to another
    // worker, so it must not continue here.
    mLifecycle.AddOrder(aWorker,
                        { .mKind = OrderKind::Stop, .mTask = aTask.mTask });
    if (attempt.mWorker == aWorker) {
      attempt.mLastListedSequence = aReportSequence;
    }
    return;
  }
  attempt.mLastListedSequence = aReportSequence;
  attempt.mReported = true;
  if (attempt.mWorker == kNoWorker) {
    attempt.mResources = aTask.mResources;
    mLifecycle.Adopt(index, aWorker);
    if (attempt.mStopReason != TaskEndReason::None) {
      mLifecycle.AddOrder(aWorker,
                          { .mKind = OrderKind::Stop, .mTask = aTask.mTask });
    }
  }
  mLifecycle.SetState(index, TaskState::Running);
}

void
InventoryReconciler::HandleEnded(WorkerIndex aWorker,
                                 const protocol::EndedTask& aTask,
                                 std::uint64_t aReportSequence)
{
  AttemptIndex index = mContext.mAttempts.Find(aTask.mTask);
  if (index == kNoAttempt) {
    if (IsForgetPending(aWorker, aTask.mTask)) {
      return;
    }
    index = AddReported(aTask.mTask, aTask.mPartition);
  }
  Attempt& attempt = mContext.mAttempts.At(index);
  if (attempt.mWorker == kNoWorker && !attempt.IsFinal()) {
    mLifecycle.Adopt(index, aWorker);
  }
  if (attempt.mWorker != aWorker) {
    mLifecycle.AddOrder(aWorker,
                        { .mKind = OrderKind::Forget, .mTask = aTask.mTask });
    return;
  }
  attempt.mLastListedSequence = aReportSequence;
  attempt.mReported = true;
  const bool isNewlyKept = !attempt.mKeptByWorker;
  attempt.mKeptByWorker = true;
  attempt.mMayStillBeListed = false;
  if (!attempt.IsFinal()) {
    FinishEnded(index, aTask);
  } else if (attempt.mAcknowledged && isNewlyKept) {
    mLifecycle.AddOrder(aWorker,
                        { .mKind = OrderKind::Forget, .mTask = aTask.mTask });
  }
}

AttemptIndex
InventoryReconciler::AddReported(const protocol::TaskKey& aKey,
                                 PartitionId aPartition)
{
  const AttemptIndex index = mContext.mAttempts.Add(aKey);
  Attempt& attempt = mContext.mAttempts.At(index);
  attempt.mPartition = aPartition;
  attempt.mUnresolved = true;
  return index;
}

void
InventoryReconciler::FinishEnded(AttemptIndex aIndex,
                                 const protocol::EndedTask& aTask)
{
  const Attempt& attempt = mContext.mAttempts.At(aIndex);
  const TaskEndReason stop = attempt.mStopReason;
  mHealth.Observe(aIndex, aTask);
  if (!aTask.mStarted) {
    mLifecycle.Finish(aIndex,
                      TaskState::NotStarted,
                      stop == TaskEndReason::None ? TaskEndReason::WorkerRefused
                                                  : stop,
                      aTask.mAnswer);
  } else if (aTask.mSucceeded) {
    mLifecycle.Finish(
      aIndex, TaskState::Succeeded, TaskEndReason::Completed, aTask.mAnswer);
  } else if (aTask.mStopped) {
    mLifecycle.Finish(aIndex,
                      TaskState::Lost,
                      stop == TaskEndReason::None ? TaskEndReason::WorkerLost
                                                  : stop,
                      aTask.mAnswer);
  } else {
    mLifecycle.Finish(
      aIndex, TaskState::Failed, TaskEndReason::TaskFailed, aTask.mAnswer);
  }
}

void
InventoryReconciler::HandleUnlisted(WorkerIndex aWorker,
                                    const protocol::WorkerReport& aReport)
{
  // Iterates backwards because erasing an attempt moves the last one into its
  // position.
  const std::vector<AttemptIndex>& attempts =
    mContext.mWorkers.At(aWorker).mAttempts;
  for (std::size_t left = attempts.size(); left > 0; --left) {
    const AttemptIndex index = attempts[left - 1];
    if (mContext.mAttempts.At(index).mLastListedSequence != aReport.mSequence) {
      HandleUnlistedAttempt(index, aReport.mCommandSequence);
    }
  }
}

void
InventoryReconciler::HandleUnlistedAttempt(AttemptIndex aIndex,
                                           std::uint64_t aAppliedSequence)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  const bool isStartApplied = aAppliedSequence >= attempt.mStartSequence;
  if (attempt.IsFinal()) {
    attempt.mKeptByWorker = false;
    attempt.mMayStillBeListed = attempt.mMayStillBeListed && !isStartApplied;
    mLifecycle.EraseIfDone(aIndex);
    return;
  }
  if (attempt.mReported) {
    // The worker listed it before and was not ordered to forget it.
    mLifecycle.Finish(aIndex, TaskState::Lost, TaskEndReason::WorkerLost);
    return;
  }
  if (attempt.mState == TaskState::Queued) {
    // It belongs to a held gang; no start order was sent.
    return;
  }
  if (attempt.mStartSequence != 0 && isStartApplied) {
    // The command was applied without starting it: a worker lists every task
    // that it started until told to forget it, and now refuses older commands.
    mLifecycle.Finish(aIndex,
                      TaskState::NotStarted,
                      attempt.mStopReason == TaskEndReason::None
                        ? TaskEndReason::WorkerRefused
                        : attempt.mStopReason);
    return;
  }
  mLifecycle.SetState(aIndex, TaskState::Starting);
}

void
InventoryReconciler::RemoveAppliedOrders(WorkerIndex aWorker,
                                         const protocol::WorkerReport& aReport)
{
  std::erase_if(mContext.mWorkers.At(aWorker).mOrders,
                [&aReport](const PendingOrder& aOrder) {
                  return aOrder.mFirstSequence != 0 &&
                         aOrder.mFirstSequence <= aReport.mCommandSequence;
                });
}

bool
InventoryReconciler::IsForgetPending(WorkerIndex aWorker,
                                     const protocol::TaskKey& aKey) const
{
  const std::vector<PendingOrder>& orders =
    mContext.mWorkers.At(aWorker).mOrders;
  return std::any_of(
    orders.begin(), orders.end(), [&aKey](const PendingOrder& aOrder) {
      return aOrder.mKind == OrderKind::Forget && aOrder.mTask == aKey;
    });
}

void
InventoryReconciler::EndAllAfterRestart(WorkerIndex aWorker)
{
  const std::vector<AttemptIndex> attempts =
    mContext.mWorkers.At(aWorker).mAttempts;
  for (const AttemptIndex index : attempts) {
    Attempt& attempt = mContext.mAttempts.At(index);
    if (attempt.mState == TaskState::Queued) {
      continue;
    }
    if (!attempt.IsFinal()) {
      mLifecycle.Finish(index, TaskState::Lost, TaskEndReason::WorkerLost);
    }
    attempt.mKeptByWorker = false;
    attempt.mMayStillBeListed = false;
    if (!mLifecycle.EraseIfDone(index)) {
      mLifecycle.Detach(index);
    }
  }
}

void
InventoryReconciler::MarkAllUnknown(WorkerIndex aWorker)
{
  for (const AttemptIndex index : mContext.mWorkers.At(aWorker).mAttempts) {
    const Attempt& attempt = mContext.mAttempts.At(index);
    if (!attempt.IsFinal() && attempt.mState != TaskState::Queued) {
      mLifecycle.SetState(index, TaskState::Unknown);
    }
  }
}

void
InventoryReconciler::EndAllAfterLapse(WorkerIndex aWorker)
{
  const std::vector<AttemptIndex> attempts =
    mContext.mWorkers.At(aWorker).mAttempts;
  const bool isListed = mContext.mWorkers.At(aWorker).mListed;
  for (const AttemptIndex index : attempts) {
    Attempt& attempt = mContext.mAttempts.At(index);
    if (attempt.mState == TaskState::Queued) {
      mLifecycle.Finish(
        index, TaskState::NotStarted, TaskEndReason::WorkerLost);
      continue;
    }
    if (!attempt.IsFinal()) {
      mLifecycle.Finish(index, TaskState::Lost, TaskEndReason::WorkerLost);
    }
    attempt.mMayStillBeListed = true;
    if (!isListed) {
      // The platform no longer lists the worker, so it will not report again.
      mLifecycle.Detach(index);
      mLifecycle.EraseIfDone(index);
    }
  }
}

} // namespace oriolevane::placement
