// Chooses the shard for new work from the digests of the placers.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/internal/liverequest.h"
#include "framework/types/ids.h"
#include "framework/types/resources.h"
#include "protocol/types/sharddigest.h"

namespace oriolevane::coordination::internal {

// What is known of one shard.
struct ShardView
{
  protocol::ShardDigest mDigest;
  bool mKnown = false;
  // The highest epoch seen of its placer.
  Epoch mEpoch;
  // Sent there since the digest.
  Resources mDeducted;
  // The placer with the highest epoch has listed all that it holds for us.
  bool mReconciled = false;
};

// Power of two choices: of two random eligible shards the one with room, then
// with the shorter expected wait, wins. Work sent since a digest is deducted
// from it, so that a burst does not all go to the shard that looked best.
class ShardRouter
{
public:
  explicit ShardRouter(std::uint32_t aShardCount);

  ShardView& View(ShardId aShard) { return mShards[aShard.mValue]; }
  const ShardView& View(ShardId aShard) const { return mShards[aShard.mValue]; }
  bool Exists(ShardId aShard) const { return aShard.mValue < mShards.size(); }
  std::uint32_t ShardCount() const
  {
    return static_cast<std::uint32_t>(mShards.size());
  }

  // True when the digest is news.
  bool TakeDigest(const protocol::ShardDigest& aDigest);

  // A shard whose hosts could hold such a task, other than those of aNotThese
  // when there is another, never one of aNever. None when no shard is eligible
  // now. Deducts the tasks from the shard's free capacity.
  std::optional<ShardId> Pick(const Resources& aPerTask,
                              std::uint32_t aCount,
                              std::optional<ShardId> aAvoid,
                              const std::vector<ShardId>& aNever,
                              std::mt19937_64& aRandom);

  // Splits a gang: one part when one shard can hold all of it, else the fewest
  // shards that can, in ascending order. Empty when the cell can't hold it now.
  std::vector<GangPart> PlanGang(const Resources& aPerTask,
                                 std::uint32_t aCount,
                                 const std::vector<ShardId>& aNever) const;

  // Why no host of the cell could ever hold such a task, naming the resource;
  // nothing while some shard is unknown or could.
  std::optional<std::string> NeverFits(const Resources& aPerTask) const;
  // Why the whole cell could never hold so many at once.
  std::optional<std::string> NeverFitsTogether(const Resources& aPerTask,
                                               std::uint32_t aCount) const;
  // The shortest wait that an eligible shard expects; nothing without one.
  std::optional<std::chrono::milliseconds> ExpectedWait(
    const Resources& aPerTask) const;

private:
  bool IsEligible(const ShardView& aView, const Resources& aPerTask) const;
  bool IsBetter(const ShardView& aLeft,
                const ShardView& aRight,
                const Resources& aPerTask,
                std::uint32_t aCount) const;
  bool AllKnown() const;

  std::vector<ShardView> mShards;
};

// How many such tasks the amounts hold, as a bound from above.
std::uint64_t
TasksThatFit(const Resources& aCapacity, const Resources& aPerTask);

} // namespace oriolevane::coordination::internal
