#include "coordination/tests/fakecell.h"

#include <fmt/format.h>

#include "coordination/tests/fixture.h"

namespace oriolevane::coordination::testing {

using protocol::TaskEndReason;
using protocol::TaskKey;
using protocol::TaskState;

FakeCell::FakeCell(std::uint32_t aShards, std::mt19937_64& aRandom)
  : mRandom(aRandom)
  , mShards(aShards)
{
}

protocol::Route
FakeCell::MakeRoute(std::uint32_t aShard) const
{
  return { .mShard = ShardId(aShard),
           .mSenderEpoch = Epoch(mShards[aShard].mEpoch) };
}

void
FakeCell::Deliver(ShardId aShard,
                  const protocol::ToPlacer& aMessage,
                  TimePoint aNow)
{
  mNow = aNow;
  Shard& shard = mShards[aShard.mValue];
  const protocol::Route& route = std::visit(
    [](const auto& aAny) -> const protocol::Route& { return aAny.mRoute; },
    aMessage);
  if (route.mSenderEpoch < shard.mCoordinatorEpoch) {
    return;
  }
  if (shard.mCoordinatorEpoch < route.mSenderEpoch) {
    shard.mCoordinatorEpoch = route.mSenderEpoch;
    shard.mLastSequence = 0;
  }
  if (mFenceStaleMessages && route.mSequence <= shard.mLastSequence) {
    return;
  }
  shard.mLastSequence = route.mSequence;
  std::visit([&](const auto& aAny) { HandleMessage(aShard.mValue, aAny); },
             aMessage);
}

void
FakeCell::HandleMessage(std::uint32_t aShard,
                        const protocol::PlaceTasks& aMessage)
{
  Shard& shard = mShards[aShard];
  const bool forOtherEpoch =
    mFenceStaleMessages && aMessage.mShardEpoch != Epoch(shard.mEpoch);
  if (!shard.mReady && (forOtherEpoch || Chance(50))) {
    return;
  }
  bool allOnHold = aMessage.mHold;
  for (const std::uint32_t index : aMessage.mIndexes) {
    const TaskKey key{ aMessage.mRequest, index, aMessage.mAttempt };
    auto found = shard.mTasks.find(key);
    if (found == shard.mTasks.end()) {
      if (forOtherEpoch || !shard.mReady) {
        ReportTask(
          aShard,
          key,
          { .mState = forOtherEpoch ? TaskState::Lost : TaskState::NotStarted,
            .mReason = forOtherEpoch ? TaskEndReason::WorkerLost
                                     : TaskEndReason::NotOwner });
        allOnHold = false;
        continue;
      }
      PlacedTask task{ .mOnHold = aMessage.mHold,
                       .mHoldExpiry = mNow + aMessage.mHoldFor };
      if (mInjectFaults && Chance(10)) {
        task.mState = TaskState::NotStarted;
        task.mReason = TaskEndReason::QueueFull;
      }
      found = shard.mTasks.emplace(key, task).first;
    }
    allOnHold = allOnHold && found->second.mOnHold;
    ReportTask(aShard, key, found->second);
  }
  if (allOnHold) {
    mMessages.emplace_back(
      protocol::TasksHeld{ .mRoute = MakeRoute(aShard),
                           .mRequest = aMessage.mRequest,
                           .mAttempt = aMessage.mAttempt,
                           .mIndexes = aMessage.mIndexes,
                           .mHeldFor = aMessage.mHoldFor });
  }
}

void
FakeCell::HandleMessage(std::uint32_t aShard,
                        const protocol::CommitHold& aMessage)
{
  for (auto& [key, task] : mShards[aShard].mTasks) {
    if (key.mRequest == aMessage.mRequest &&
        key.mAttempt == aMessage.mAttempt) {
      task.mOnHold = false;
      ReportTask(aShard, key, task);
    }
  }
}

void
FakeCell::HandleMessage(std::uint32_t aShard,
                        const protocol::CancelTasks& aMessage)
{
  Shard& shard = mShards[aShard];
  for (const TaskKey& key : aMessage.mTasks) {
    if (!shard.mReady) {
      continue;
    }
    PlacedTask& task = shard.mTasks[key];
    if (task.mState == TaskState::Queued) {
      task.mState = TaskState::NotStarted;
      task.mReason = TaskEndReason::Cancelled;
    } else if (task.mState == TaskState::Running) {
      task.mReason = TaskEndReason::Cancelled;
      EndTask(key, task, TaskState::Failed);
    }
    ReportTask(aShard, key, task);
  }
}

void
FakeCell::HandleMessage(std::uint32_t aShard,
                        const protocol::UpdateAck& aMessage)
{
  Shard& shard = mShards[aShard];
  const auto found = shard.mTasks.find(aMessage.mTask);
  if (found != shard.mTasks.end() && IsFinal(found->second.mState)) {
    shard.mTasks.erase(found);
  }
}

void
FakeCell::HandleMessage(std::uint32_t aShard,
                        const protocol::ReconcileQuery& aMessage)
{
  const Shard& shard = mShards[aShard];
  protocol::ReconcileAnswer answer{ .mRoute = MakeRoute(aShard),
                                    .mComplete = shard.mReady };
  answer.mRoute.mSequence = aMessage.mRoute.mSequence;
  for (const auto& [key, task] : shard.mTasks) {
    if (task.mWorkerUnreached) {
      continue;
    }
    answer.mTasks.push_back({ .mTask = key, .mState = task.mState });
  }
  mMessages.emplace_back(std::move(answer));
}

void
FakeCell::ReportTask(std::uint32_t aShard,
                     const TaskKey& aKey,
                     const PlacedTask& aTask)
{
  mMessages.emplace_back(protocol::TaskUpdate{ .mRoute = MakeRoute(aShard),
                                               .mTask = aKey,
                                               .mState = aTask.mState,
                                               .mReason = aTask.mReason,
                                               .mWorker = WorkerId("w"),
                                               .mAnswer = aTask.mAnswer });
}

void
FakeCell::EndTask(const TaskKey& aKey, PlacedTask& aTask, TaskState aState)
{
  TaskRuns& runs = mRunsByTask[{ aKey.mRequest, aKey.mIndex }];
  --runs.mRunning;
  aTask.mState = aState;
  if (aState != TaskState::Lost) {
    aTask.mAnswer =
      fmt::format("{}/{}/{}", aKey.mRequest, aKey.mIndex, aKey.mAttempt);
    runs.mAnswers.insert(aTask.mAnswer);
  }
}

void
FakeCell::Step(TimePoint aNow)
{
  mNow = aNow;
  for (std::uint32_t shard = 0; shard < mShards.size(); ++shard) {
    if (!mShards[shard].mReady) {
      continue;
    }
    for (auto& [key, task] : mShards[shard].mTasks) {
      StepTask(shard, key, task);
    }
  }
}

void
FakeCell::StepTask(std::uint32_t aShard, const TaskKey& aKey, PlacedTask& aTask)
{
  if (IsFinal(aTask.mState)) {
    if (Chance(20)) {
      ReportTask(aShard, aKey, aTask);
    }
    return;
  }
  if (aTask.mOnHold) {
    if (mNow > aTask.mHoldExpiry) {
      aTask.mState = TaskState::NotStarted;
      aTask.mReason = TaskEndReason::HoldExpired;
    }
    return;
  }
  if (!Chance(30)) {
    return;
  }
  if (aTask.mState == TaskState::Queued) {
    aTask.mState = TaskState::Running;
    TaskRuns& runs = mRunsByTask[{ aKey.mRequest, aKey.mIndex }];
    ++runs.mStarts;
    ++runs.mRunning;
  } else if (aTask.mState == TaskState::Unknown) {
    EndTask(aKey, aTask, TaskState::Lost);
  } else if (mInjectFaults && Chance(10)) {
    aTask.mState = TaskState::Unknown;
  } else {
    aTask.mReason = TaskEndReason::Completed;
    const bool fails = mInjectFaults && Chance(15);
    EndTask(aKey, aTask, fails ? TaskState::Failed : TaskState::Succeeded);
  }
  ReportTask(aShard, aKey, aTask);
}

// The state that only the placer had is lost. Running tasks go on, and some of
// their workers are not reached by the new placer.
void
FakeCell::CrashPlacer(std::uint32_t aShard)
{
  Shard& shard = mShards[aShard];
  ++shard.mEpoch;
  shard.mReady = false;
  shard.mCoordinatorEpoch = {};
  shard.mLastSequence = 0;
  std::erase_if(shard.mTasks, [](const auto& aEntry) {
    return aEntry.second.mState == TaskState::Queued ||
           aEntry.second.mState == TaskState::NotStarted ||
           aEntry.second.mState == TaskState::Lost;
  });
  for (auto& [key, task] : shard.mTasks) {
    task.mWorkerUnreached =
      task.mWorkerUnreached || task.mState == TaskState::Unknown || Chance(20);
  }
}

// Workers that were not reached by now have let their leases lapse: their tasks
// are lost and no longer listed.
void
FakeCell::FinishRecovery(std::uint32_t aShard)
{
  Shard& shard = mShards[aShard];
  shard.mReady = true;
  for (auto entry = shard.mTasks.begin(); entry != shard.mTasks.end();) {
    auto& [key, task] = *entry;
    const bool leaseLapsed = task.mWorkerUnreached;
    if (leaseLapsed && !IsFinal(task.mState)) {
      EndTask(key, task, TaskState::Lost);
    }
    entry = leaseLapsed ? shard.mTasks.erase(entry) : std::next(entry);
  }
}

DigestReceived
FakeCell::NextDigest(std::uint32_t aShard)
{
  Shard& shard = mShards[aShard];
  protocol::ShardDigest digest =
    MakeDigest(aShard, shard.mEpoch, ++shard.mDigestSequence);
  digest.mReady = shard.mReady;
  return { digest };
}

std::vector<CoordinatorEvent>
FakeCell::TakeMessages()
{
  return std::exchange(mMessages, {});
}

} // namespace oriolevane::coordination::testing
