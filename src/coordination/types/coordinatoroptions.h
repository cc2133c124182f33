// Options of the coordinator of one request partition.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "framework/types/ids.h"

namespace oriolevane::coordination {

// mEpoch is the partition's epoch under which this node owns it. mSeed seeds
// the random choices, so that a run can be repeated.
struct CoordinatorOptions
{
  PartitionId mPartition;
  Epoch mEpoch{ 1 };
  std::uint32_t mShardCount = 1;
  std::uint32_t mPartitionCount = 1;
  std::uint64_t mSeed = 1;
  // How long the coordinator waits for an answer before it resends a message.
  std::chrono::milliseconds mResendInterval{ 500 };
  // How long a shard reserves its part of a gang that spans several shards.
  std::chrono::milliseconds mHoldLease{ 5'000 };
  // Limit on the gangs of this partition that hold capacity in several shards
  // at the same time.
  std::uint32_t mMaxGangHolds = 2;
  // Retention of recorded outcomes: their age, number and total size in bytes.
  // The oldest are dropped first.
  std::chrono::milliseconds mOutcomeRetention{ 600'000 };
  std::size_t mMaxOutcomes = 20'000;
  std::size_t mMaxOutcomeBytes = 16U << 20U;
  // New requests are refused while this many are unfinished.
  std::size_t mMaxLiveRequests = 100'000;
  // New requests are refused while this many records wait for the store.
  std::size_t mMaxPendingRecords = 100'000;
  std::uint32_t mMaxTasksPerRequest = 10'000;
  // Limit on the tasks of one PlaceTasks message.
  std::uint32_t mMaxTasksPerMessage = 64;
  // Limit on the requests whose timers are handled in one tick.
  std::size_t mMaxDueRequestsPerTick = 2'000;
  // Share of the tolerated wait that the admitted backlog may take to serve.
  double mToleratedWaitShare = 0.5;
  // False turns off the limits on request rate and expected wait. Benchmarks
  // use it as a baseline.
  bool mLimitAdmission = true;
};

} // namespace oriolevane::coordination
