// Settings of one coordinator.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "framework/types/ids.h"

namespace oriolevane::coordination {

// mEpoch is the partition's epoch that this owner holds.
struct CoordinatorOptions
{
  PartitionId mPartition;
  Epoch mEpoch{ 1 };
  std::uint32_t mShardCount = 1;
  std::uint32_t mPartitionCount = 1;
  std::uint64_t mSeed = 1;
  // Messages without an answer are sent again after this long.
  std::chrono::milliseconds mResendAfter{ 500 };
  // Capacity of a gang over several shards is reserved this long.
  std::chrono::milliseconds mHoldLease{ 5'000 };
  // Gangs of this partition that may hold capacity in several shards at once.
  std::uint32_t mMostGangHolds = 2;
  // Outcomes are kept this long, at most this many and of this many bytes.
  std::chrono::milliseconds mOutcomeRetention{ 600'000 };
  std::size_t mMostOutcomes = 20'000;
  std::size_t mMostOutcomeBytes = 16U << 20U;
  // More unfinished requests are refused.
  std::size_t mMostLive = 100'000;
  // More records that wait for the store refuse new requests.
  std::size_t mMostPendingRecords = 100'000;
  std::uint32_t mMostTasksPerRequest = 10'000;
  // Tasks of one PlaceTasks message at most.
  std::uint32_t mTasksPerMessage = 64;
  // Requests whose timers are served in one tick at most.
  std::size_t mMostDuePerTick = 2'000;
  // Share of the tolerated wait that admission lets the backlog fill.
  double mBurstShare = 0.5;
  // False takes away the limits on rate and expected wait, as a baseline for
  // measurements.
  bool mLimitAdmission = true;
};

} // namespace oriolevane::coordination
