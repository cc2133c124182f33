// Chooses the shards for new tasks from the digests of the placers.
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

// The coordinator's knowledge of one shard.
struct ShardView
{
  protocol::ShardDigest mDigest;
  // A digest has been received.
  bool mKnown = false;
  // The highest epoch seen of the shard's placer.
  Epoch mEpoch;
  // The resources of the tasks sent to the shard since the digest.
  Resources mDeducted;
  // The placer with the highest epoch has listed all tasks of this partition
  // that it holds.
  bool mReconciled = false;
};

// Uses the power of two choices: of two random eligible shards, it picks the
// one with more free capacity when either has room, otherwise the one with the
// shorter expected wait. The resources of tasks sent since a digest are
// deducted from it, so that a burst does not go to a single shard.
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

  // Returns false and ignores the digest when it is not newer than the last
  // one.
  bool UpdateDigest(const protocol::ShardDigest& aDigest);

  // Picks a shard whose hosts could hold such a task. Avoids aAvoid when
  // another shard is eligible, and never returns one of aInfeasible. Returns
  // nullopt when no shard is eligible now. Deducts the tasks from the shard's
  // free capacity.
  std::optional<ShardId> Pick(const Resources& aPerTask,
                              std::uint32_t aCount,
                              std::optional<ShardId> aAvoid,
                              const std::vector<ShardId>& aInfeasible,
                              std::mt19937_64& aRandom);

  // Splits a gang over shards: one part when the total capacity of one shard
  // could hold all of it, otherwise the fewest shards whose free capacity holds
  // it, in ascending order. Returns no parts when the cell can't hold it now.
  std::vector<GangPart> PlanGang(const Resources& aPerTask,
                                 std::uint32_t aCount,
                                 const std::vector<ShardId>& aInfeasible) const;

  // Returns why no host of the cell could ever hold such a task, with the name
  // of the resource. Returns nullopt when a shard could hold it or is unknown.
  std::optional<std::string> WhyNeverFits(const Resources& aPerTask) const;
  // Returns why the whole cell could never hold so many such tasks at once.
  // Returns nullopt when it could or a shard is unknown.
  std::optional<std::string> WhyNeverFitsTogether(const Resources& aPerTask,
                                                  std::uint32_t aCount) const;
  // Returns the shortest expected wait of the eligible shards, or nullopt when
  // there is none.
  std::optional<std::chrono::milliseconds> ExpectedWait(
    const Resources& aPerTask) const;

private:
  bool IsEligible(const ShardView& aView, const Resources& aPerTask) const;
  bool IsBetter(const ShardView& aLeft,
                const ShardView& aRight,
                const Resources& aPerTask,
                std::uint32_t aCount) const;
  bool AllShardsReady() const;

  std::vector<ShardView> mShards;
};

// Returns an upper bound on the number of such tasks that fit in the capacity.
std::uint64_t
TasksThatFit(const Resources& aCapacity, const Resources& aPerTask);

} // namespace oriolevane::coordination::internal
