// Settings of one placer.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "framework/types/ids.h"

namespace oriolevane::placement {

struct PlacerOptions
{
  ShardId mShard;
  // The term under which this placer owns the shard; at least 1.
  Epoch mEpoch;
  NodeId mOwner;
  // Of the generator that breaks ties and draws samples.
  std::uint64_t mSeed = 1;
  // How long a task may run on a worker after the report its lease is anchored
  // to.
  std::chrono::milliseconds mTaskLease{ 10'000 };
  std::chrono::milliseconds mHeartbeatEvery{ 2'000 };
  // After this silence the attempts on a worker are reported as unknown.
  std::chrono::milliseconds mSilenceUntilUnknown{ 6'000 };
  // Pace at which final updates are repeated until acknowledged.
  std::chrono::milliseconds mRepeatUpdateEvery{ 1'000 };
  // Shards of the cell; quotas are split evenly over them.
  std::uint32_t mShardCount = 1;
  // Keys that were cancelled or are over are remembered this long, so that a
  // late or doubled message starts nothing.
  std::chrono::milliseconds mTombstoneFor{ 600'000 };
  std::size_t mTombstoneLimit = 200'000;
  // Tasks that may wait in this shard.
  std::size_t mQueueLimit = 100'000;
  // Placement decisions taken in one call of Handle, at most; the rest is done
  // by the following calls.
  std::size_t mDecisionsPerCall = 256;
  // A waiting task rises by one urgency level after this time, and by another
  // after ten times as long.
  std::chrono::milliseconds mAgingStep{ 60'000 };
  // A task whose latest useful start is nearer than this goes before the fair
  // order of its level.
  std::chrono::milliseconds mPressingBefore{ 5'000 };
  // A worker is given no work for this long after it was found to fail
  // everything; doubled with each failed probe up to the cap.
  std::chrono::milliseconds mQuarantineFor{ 30'000 };
  std::chrono::milliseconds mQuarantineCap{ 600'000 };
  // Share of the shard's workers that may be in quarantine at once, in
  // thousandths.
  std::uint32_t mQuarantinePerMille = 100;
  // False leaves workers that fail everything in use; a baseline for
  // measurements.
  bool mQuarantine = true;
};

} // namespace oriolevane::placement
