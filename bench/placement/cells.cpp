#include "cells.h"

#include <fmt/format.h>

namespace oriolevane::bench {

namespace {

constexpr std::size_t kWorkersPerRack = 6;
constexpr std::size_t kZones = 4;

} // namespace

placement::PlacerOptions
BenchOptions(std::uint64_t aSeed)
{
  return { .mShard = ShardId{ 0 },
           .mEpoch = Epoch{ 1 },
           .mOwner = NodeId{ "bench" },
           .mSeed = aSeed };
}

std::vector<protocol::WorkerInfo>
MakeWorkers(std::size_t aCount, std::int64_t aAccelerators)
{
  std::vector<protocol::WorkerInfo> workers;
  for (std::size_t number = 0; number < aCount; ++number) {
    const std::size_t rack = number / kWorkersPerRack;
    workers.push_back(
      { .mWorker = WorkerId{ fmt::format("w-{:05}", number) },
        .mZone = ZoneId{ fmt::format("zone-{}", rack % kZones) },
        .mRack = RackId{ fmt::format("rack-{}", rack) },
        .mCapacity = { .mMilliCores = 64'000,
                       .mMemoryMiB = 262'144,
                       .mAccelerators = rack % 2 == 0 ? aAccelerators : 0,
                       .mSlots = 8 },
        .mAddress = "127.0.0.1:1" });
  }
  return workers;
}

} // namespace oriolevane::bench
