// Simulates the placers and workers of a cell, with faults, and records what
// really ran.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/types/coordinatorevent.h"
#include "framework/types/timepoint.h"
#include "protocol/types/placermessages.h"

namespace oriolevane::coordination::testing {

// Records the real runs of a task, whatever was reported of them.
struct TaskRuns
{
  std::uint32_t mStarts = 0;
  std::uint32_t mRunning = 0;
  std::set<std::string> mAnswers;
};

// Simulates all shards of a cell. At each step some of the tasks start, end or
// are lost.
class FakeCell
{
public:
  // One attempt at a task, as its placer holds it.
  struct PlacedTask
  {
    protocol::TaskState mState = protocol::TaskState::Queued;
    protocol::TaskEndReason mReason = protocol::TaskEndReason::None;
    std::string mAnswer;
    bool mOnHold = false;
    // Whether the placer has not reached the task's worker since its takeover.
    bool mWorkerUnreached = false;
    TimePoint mHoldExpiry;
  };
  // The state of a shard's placer.
  struct Shard
  {
    std::uint64_t mEpoch = 1;
    bool mReady = true;
    std::uint64_t mDigestSequence = 0;
    Epoch mCoordinatorEpoch;
    std::uint64_t mLastSequence = 0;
    std::map<protocol::TaskKey, PlacedTask> mTasks;
  };

  FakeCell(std::uint32_t aShards, std::mt19937_64& aRandom);

  // Whether placers ignore messages with an old Route::mSequence and placements
  // for another PlaceTasks::mShardEpoch.
  bool mFenceStaleMessages = true;
  bool mInjectFaults = true;

  // Delivers a coordinator's message to the shard's placer, which ignores it
  // when it is of an earlier coordinator epoch.
  void Deliver(ShardId aShard,
               const protocol::ToPlacer& aMessage,
               TimePoint aNow);
  // Advances the tasks at ready placers at random.
  void Step(TimePoint aNow);
  // Starts a new placer of the next epoch, which is not ready until
  // FinishRecovery is called.
  void CrashPlacer(std::uint32_t aShard);
  // Makes the shard's new placer ready.
  void FinishRecovery(std::uint32_t aShard);
  // Returns the shard's digest under the next digest sequence number.
  DigestReceived NextDigest(std::uint32_t aShard);
  // Returns the messages to coordinators since the last call.
  std::vector<CoordinatorEvent> TakeMessages();
  // Returns the real runs by request and task index, over all attempts.
  const std::map<std::pair<RequestId, std::uint32_t>, TaskRuns>& RunsByTask()
    const
  {
    return mRunsByTask;
  }
  std::size_t ShardCount() const { return mShards.size(); }
  const Shard& ShardAt(std::uint32_t aShard) const { return mShards[aShard]; }

private:
  void HandleMessage(std::uint32_t aShard,
                     const protocol::PlaceTasks& aMessage);
  void HandleMessage(std::uint32_t aShard,
                     const protocol::CommitHold& aMessage);
  void HandleMessage(std::uint32_t aShard,
                     const protocol::CancelTasks& aMessage);
  void HandleMessage(std::uint32_t aShard, const protocol::UpdateAck& aMessage);
  void HandleMessage(std::uint32_t aShard,
                     const protocol::ReconcileQuery& aMessage);
  void StepTask(std::uint32_t aShard,
                const protocol::TaskKey& aKey,
                PlacedTask& aTask);
  void EndTask(const protocol::TaskKey& aKey,
               PlacedTask& aTask,
               protocol::TaskState aState);
  void ReportTask(std::uint32_t aShard,
                  const protocol::TaskKey& aKey,
                  const PlacedTask& aTask);
  protocol::Route MakeRoute(std::uint32_t aShard) const;
  bool Chance(std::uint32_t aPercent) { return mRandom() % 100 < aPercent; }

  std::mt19937_64& mRandom;
  TimePoint mNow;
  std::vector<Shard> mShards;
  std::vector<CoordinatorEvent> mMessages;
  std::map<std::pair<RequestId, std::uint32_t>, TaskRuns> mRunsByTask;
};

} // namespace oriolevane::coordination::testing
