// Small stand-ins for the placers and workers of a cell, with faults, and the
// truth of what started where.
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

// What really happened, whatever anyone was told.
struct TaskTruth
{
  std::uint32_t mStarts = 0;
  std::uint32_t mRunning = 0;
  std::set<std::string> mAnswers;
};

// All shards of a cell. Each step some of its tasks start, end or are lost.
class FakeCell
{
public:
  struct Held
  {
    protocol::TaskState mState = protocol::TaskState::Queued;
    protocol::TaskEndReason mReason = protocol::TaskEndReason::None;
    std::string mAnswer;
    bool mHeld = false;
    // On a worker that the placer has not reached since its takeover.
    bool mUnreached = false;
    TimePoint mHeldUntil;
  };
  struct Shard
  {
    std::uint64_t mEpoch = 1;
    bool mReady = true;
    std::uint64_t mDigests = 0;
    Epoch mCoordinatorEpoch;
    std::uint64_t mLastSequence = 0;
    std::map<protocol::TaskKey, Held> mTasks;
  };

  FakeCell(std::uint32_t aShards, std::mt19937_64& aRandom);

  // Whether placers heed Route::mSequence and PlaceTasks::mShardEpoch.
  bool mFenceCopies = true;
  bool mFaults = true;

  void Deliver(ShardId aShard,
               const protocol::ToPlacer& aMessage,
               TimePoint aNow);
  void Step(TimePoint aNow);
  void CrashPlacer(std::uint32_t aShard);
  void FinishRecovery(std::uint32_t aShard);
  DigestReceived Digest(std::uint32_t aShard);
  // Messages to coordinators since the last call.
  std::vector<CoordinatorEvent> TakeMessages();
  const std::map<std::pair<RequestId, std::uint32_t>, TaskTruth>& Truth() const
  {
    return mTruth;
  }
  std::size_t ShardCount() const { return mShards.size(); }
  const Shard& At(std::uint32_t aShard) const { return mShards[aShard]; }

private:
  void On(std::uint32_t aShard, const protocol::PlaceTasks& aMessage);
  void On(std::uint32_t aShard, const protocol::CommitHold& aMessage);
  void On(std::uint32_t aShard, const protocol::CancelTasks& aMessage);
  void On(std::uint32_t aShard, const protocol::UpdateAck& aMessage);
  void On(std::uint32_t aShard, const protocol::ReconcileQuery& aMessage);
  void StepTask(std::uint32_t aShard,
                const protocol::TaskKey& aTask,
                Held& aHeld);
  void End(const protocol::TaskKey& aTask,
           Held& aHeld,
           protocol::TaskState aState);
  void Report(std::uint32_t aShard,
              const protocol::TaskKey& aTask,
              const Held& aHeld);
  protocol::Route RouteOf(std::uint32_t aShard) const;
  bool Chance(std::uint32_t aPercent) { return mRandom() % 100 < aPercent; }

  std::mt19937_64& mRandom;
  TimePoint mNow;
  std::vector<Shard> mShards;
  std::vector<CoordinatorEvent> mMessages;
  std::map<std::pair<RequestId, std::uint32_t>, TaskTruth> mTruth;
};

} // namespace oriolevane::coordination::testing
