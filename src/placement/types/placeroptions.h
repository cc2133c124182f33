// Settings of one placer.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "framework/types/ids.h"

namespace oriolevane::placement {

// Identity, limits and intervals of one placer.
struct PlacerOptions
{
  ShardId mShard;
  // The epoch under which this placer owns the shard; at least 1.
  Epoch mEpoch;
  // The node that this placer runs on.
  NodeId mOwner;
  // Seed of the random number generator that breaks ties and draws samples.
  std::uint64_t mSeed = 1;
  // How long a task may run after the worker report to which its lease is
  // anchored.
  std::chrono::milliseconds mTaskLease{ 10'000 };
  // Interval between the heartbeats sent to a worker.
  std::chrono::milliseconds mHeartbeatEvery{ 2'000 };
  // When a worker has not reported for this long, its attempts are reported as
  // unknown.
  std::chrono::milliseconds mSilenceUntilUnknown{ 6'000 };
  // Interval at which a final update is resent until it is acknowledged.
  std::chrono::milliseconds mRepeatUpdateEvery{ 1'000 };
  // Number of shards in the cell. Team quotas are divided evenly between them.
  std::uint32_t mShardCount = 1;
  // How long the keys of cancelled and ended attempts are kept, so that a late
  // or duplicate message does not start them again.
  std::chrono::milliseconds mTombstoneRetention{ 600'000 };
  // Maximum number of such keys; the oldest are removed first.
  std::size_t mTombstoneLimit = 200'000;
  // Maximum number of tasks waiting in this shard.
  std::size_t mQueueLimit = 100'000;
  // Maximum number of placement decisions in one call of Handle; later calls
  // continue with the remaining tasks.
  std::size_t mMaxDecisionsPerCall = 256;
  // A waiting task is raised by one urgency level after this time, and by
  // another after ten times this time.
  std::chrono::milliseconds mAgingStep{ 60'000 };
  // A task whose latest useful start is less than this away is placed ahead of
  // the fair order of its urgency level.
  std::chrono::milliseconds mNearDeadlineWindow{ 5'000 };
  // How long a worker that fails every task gets no work. The period doubles
  // with each failed probe, up to mMaxQuarantinePeriod.
  std::chrono::milliseconds mQuarantinePeriod{ 30'000 };
  std::chrono::milliseconds mMaxQuarantinePeriod{ 600'000 };
  // Maximum share of the shard's workers in quarantine at the same time, in
  // thousandths.
  std::uint32_t mMaxQuarantinedPerMille = 100;
  // When false, workers that fail every task stay in use. Benchmarks use this
  // as a baseline.
  bool mQuarantineEnabled = true;
};

} // namespace oriolevane::placement
