#include "coordination/internal/shardrouter.h"

#include <algorithm>
#include <array>
#include <limits>

#include <fmt/format.h>

namespace oriolevane::coordination::internal {

namespace {

struct NamedAmount
{
  const char* mName;
  std::int64_t Resources::*mAmount;
};

constexpr std::array<NamedAmount, 4> kAmounts{ {
  { "processors (thousandths)", &Resources::mMilliCores },
  { "memory (MiB)", &Resources::mMemoryMiB },
  { "accelerators", &Resources::mAccelerators },
  { "slots", &Resources::mSlots },
} };

Resources
MultiplyBy(const Resources& aPerTask, std::uint32_t aCount)
{
  Resources total = aPerTask;
  for (const NamedAmount& amount : kAmounts) {
    total.*amount.mAmount *= aCount;
  }
  return total;
}

bool
Contains(const std::vector<ShardId>& aShards, ShardId aShard)
{
  return std::find(aShards.begin(), aShards.end(), aShard) != aShards.end();
}

std::uint64_t
FreeTasks(const ShardView& aView, const Resources& aPerTask)
{
  if (!aPerTask.FitsIn(aView.mDigest.mLargestFree)) {
    return 0;
  }
  return TasksThatFit(aView.mDigest.mFree - aView.mDeducted, aPerTask);
}

// Gives each shard its share of consecutive task indexes, in ascending order of
// shards.
std::vector<GangPart>
AssignIndexes(std::vector<std::pair<ShardId, std::uint32_t>> aShares)
{
  std::sort(aShares.begin(), aShares.end());
  std::vector<GangPart> parts;
  std::uint32_t next = 0;
  for (const auto& [shard, count] : aShares) {
    GangPart part{ .mShard = shard };
    for (std::uint32_t assigned = 0; assigned < count; ++assigned) {
      part.mIndexes.push_back(next++);
    }
    parts.push_back(std::move(part));
  }
  return parts;
}

} // namespace

std::uint64_t
TasksThatFit(const Resources& aCapacity, const Resources& aPerTask)
{
  std::int64_t fitting = std::numeric_limits<std::int64_t>::max();
  for (const NamedAmount& amount : kAmounts) {
    const std::int64_t needed = aPerTask.*amount.mAmount;
    if (needed > 0) {
      fitting = std::min(fitting, aCapacity.*amount.mAmount / needed);
    }
  }
  return static_cast<std::uint64_t>(std::max<std::int64_t>(fitting, 0));
}

ShardRouter::ShardRouter(std::uint32_t aShardCount)
  : mShards(aShardCount)
{
}

bool
ShardRouter::UpdateDigest(const protocol::ShardDigest& aDigest)
{
  ShardView& view = View(aDigest.mShard);
  const bool older = aDigest.mEpoch < view.mEpoch ||
                     (view.mKnown && aDigest.mEpoch == view.mDigest.mEpoch &&
                      aDigest.mSequence <= view.mDigest.mSequence);
  if (older) {
    return false;
  }
  view.mDigest = aDigest;
  view.mKnown = true;
  view.mDeducted = {};
  return true;
}

bool
ShardRouter::IsEligible(const ShardView& aView, const Resources& aPerTask) const
{
  return aView.mKnown && aView.mDigest.mReady && aView.mDigest.mWorkers > 0 &&
         aView.mDigest.mEpoch == aView.mEpoch &&
         aPerTask.FitsIn(aView.mDigest.mLargestWorker);
}

bool
ShardRouter::IsBetter(const ShardView& aLeft,
                      const ShardView& aRight,
                      const Resources& aPerTask,
                      std::uint32_t aCount) const
{
  const std::uint64_t leftFree = FreeTasks(aLeft, aPerTask);
  const std::uint64_t rightFree = FreeTasks(aRight, aPerTask);
  if (leftFree >= aCount || rightFree >= aCount) {
    return leftFree > rightFree;
  }
  if (aLeft.mDigest.mExpectedWait != aRight.mDigest.mExpectedWait) {
    return aLeft.mDigest.mExpectedWait < aRight.mDigest.mExpectedWait;
  }
  return leftFree > rightFree;
}

std::optional<ShardId>
ShardRouter::Pick(const Resources& aPerTask,
                  std::uint32_t aCount,
                  std::optional<ShardId> aAvoid,
                  const std::vector<ShardId>& aInfeasible,
                  std::mt19937_64& aRandom)
{
  std::vector<std::uint32_t> eligible;
  std::optional<std::uint32_t> avoided;
  for (std::uint32_t shard = 0; shard < mShards.size(); ++shard) {
    if (!IsEligible(mShards[shard], aPerTask) ||
        Contains(aInfeasible, ShardId(shard))) {
      continue;
    }
    if (aAvoid == ShardId(shard)) {
      avoided = shard;
    } else {
      eligible.push_back(shard);
    }
  }
  if (eligible.empty()) {
    if (!avoided) {
      return std::nullopt;
    }
    eligible.push_back(*avoided);
  }
  std::uint32_t chosen = eligible[aRandom() % eligible.size()];
  const std::uint32_t other = eligible[aRandom() % eligible.size()];
  if (IsBetter(mShards[other], mShards[chosen], aPerTask, aCount)) {
    chosen = other;
  }
  mShards[chosen].mDeducted += MultiplyBy(aPerTask, aCount);
  return ShardId(chosen);
}

std::vector<GangPart>
ShardRouter::PlanGang(const Resources& aPerTask,
                      std::uint32_t aCount,
                      const std::vector<ShardId>& aInfeasible) const
{
  std::vector<std::pair<std::uint64_t, std::uint32_t>> byFree;
  std::optional<std::uint32_t> singleShard;
  for (std::uint32_t shard = 0; shard < mShards.size(); ++shard) {
    const ShardView& view = mShards[shard];
    if (!IsEligible(view, aPerTask) || Contains(aInfeasible, ShardId(shard))) {
      continue;
    }
    byFree.emplace_back(FreeTasks(view, aPerTask), shard);
    const bool couldHoldAll =
      TasksThatFit(view.mDigest.mTotal, aPerTask) >= aCount;
    if (couldHoldAll &&
        (!singleShard ||
         IsBetter(view, mShards[*singleShard], aPerTask, aCount))) {
      singleShard = shard;
    }
  }
  if (singleShard) {
    return AssignIndexes({ { ShardId(*singleShard), aCount } });
  }
  std::sort(byFree.rbegin(), byFree.rend());
  std::vector<std::pair<ShardId, std::uint32_t>> shares;
  std::uint32_t left = aCount;
  for (const auto& [free, shard] : byFree) {
    const auto share =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(free, left));
    if (share > 0) {
      shares.emplace_back(ShardId(shard), share);
      left -= share;
    }
  }
  return left > 0 ? std::vector<GangPart>{} : AssignIndexes(std::move(shares));
}

bool
ShardRouter::AllShardsReady() const
{
  return std::all_of(
    mShards.begin(), mShards.end(), [](const ShardView& aView) {
      return aView.mKnown && aView.mDigest.mReady &&
             aView.mDigest.mEpoch == aView.mEpoch;
    });
}

std::optional<std::string>
ShardRouter::WhyNeverFits(const Resources& aPerTask) const
{
  if (!AllShardsReady()) {
    return std::nullopt;
  }
  Resources largest;
  for (const ShardView& view : mShards) {
    if (aPerTask.FitsIn(view.mDigest.mLargestWorker)) {
      return std::nullopt;
    }
    for (const NamedAmount& amount : kAmounts) {
      largest.*amount.mAmount = std::max(
        largest.*amount.mAmount, view.mDigest.mLargestWorker.*amount.mAmount);
    }
  }
  for (const NamedAmount& amount : kAmounts) {
    if (aPerTask.*amount.mAmount > largest.*amount.mAmount) {
      return fmt::format("no worker has {} {}, the most is {}",
                         aPerTask.*amount.mAmount,
                         amount.mName,
                         largest.*amount.mAmount);
    }
  }
  return "no worker of one shard has these amounts together";
}

std::optional<std::string>
ShardRouter::WhyNeverFitsTogether(const Resources& aPerTask,
                                  std::uint32_t aCount) const
{
  if (!AllShardsReady()) {
    return std::nullopt;
  }
  std::uint64_t fitting = 0;
  for (const ShardView& view : mShards) {
    if (aPerTask.FitsIn(view.mDigest.mLargestWorker)) {
      fitting +=
        std::min<std::uint64_t>(TasksThatFit(view.mDigest.mTotal, aPerTask),
                                std::numeric_limits<std::uint32_t>::max());
    }
  }
  if (fitting >= aCount) {
    return std::nullopt;
  }
  return fmt::format(
    "{} tasks start together, the cell holds at most {}", aCount, fitting);
}

std::optional<std::chrono::milliseconds>
ShardRouter::ExpectedWait(const Resources& aPerTask) const
{
  std::optional<std::chrono::milliseconds> shortest;
  for (const ShardView& view : mShards) {
    if (!IsEligible(view, aPerTask)) {
      continue;
    }
    if (!shortest || view.mDigest.mExpectedWait < *shortest) {
      shortest = view.mDigest.mExpectedWait;
    }
  }
  return shortest;
}

} // namespace oriolevane::coordination::internal
