// What the placer of a shard tells all nodes about its capacity, about once a
// second.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "framework/types/ids.h"
#include "framework/types/resources.h"

namespace oriolevane::protocol {

constexpr std::size_t kUrgencyLevels = 3;

struct ShardDigest
{
  ShardId mShard;
  Epoch mEpoch;
  NodeId mOwner;
  // Rises with each digest of one epoch; an older digest never replaces a newer
  // one.
  std::uint64_t mSequence = 0;
  // False while the placer still fences its workers.
  bool mReady = false;
  std::uint32_t mWorkers = 0;
  Resources mTotal;
  Resources mFree;
  // Per resource the most that one worker has, in use or not: what could never
  // fit is seen from it.
  Resources mLargestWorker;
  // Per resource the most that is free on one worker.
  Resources mLargestFree;
  std::array<std::uint32_t, kUrgencyLevels> mQueued{};
  std::chrono::milliseconds mExpectedWait{ 0 };

  bool operator==(const ShardDigest&) const = default;
};

} // namespace oriolevane::protocol
