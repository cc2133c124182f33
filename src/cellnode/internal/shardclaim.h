// The row that says which node owns the shard, as a node that does not own it
// sees it: read while the owner is in doubt, and claimed when it is time to.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "cellnode/ownershippolicy.h"
#include "cellnode/types/nodehooks.h"

namespace oriolevane::cellnode {

struct ClaimedShard
{
  OwnerRow mRow;
  RowVersion mVersion;
  // No earlier than this the claim was applied.
  TimePoint mSince;
  // The owner before; nothing when there was none.
  std::optional<OwnerRow> mPredecessor;
};

struct ShardClaimHooks
{
  // The highest term that this node has heard of.
  std::function<Epoch()> mHighestEpoch;
  // Another node owns the shard, as the row says.
  std::function<void(const OwnerRow&)> mOnOwnerRow;
  std::function<void(const ClaimedShard&)> mOnClaimed;
};

class ShardClaim
{
public:
  // References outlive the claim.
  ShardClaim(const NodeOptions& aOptions,
             const RowStoreHooks& aStore,
             OwnershipPolicy& aPolicy,
             ShardClaimHooks aHooks);
  ShardClaim(const ShardClaim&) = delete;
  ShardClaim& operator=(const ShardClaim&) = delete;
  ~ShardClaim();

  // Reads or claims, as the policy wants.
  void Advance(TimePoint aNow);
  // Reads at the next occasion.
  void ReadSoon() { mNextRead = {}; }

private:
  void Read(TimePoint aNow);
  void OnPage(const absl::StatusOr<RowPage>& aPage, TimePoint aSentAt);
  void Claim(RowVersion aVersion, TimePoint aNow);
  bool IsOwn(const OwnerRow& aRow) const;

  const NodeOptions& mOptions;
  const RowStoreHooks& mStore;
  OwnershipPolicy& mPolicy;
  ShardClaimHooks mHooks;
  std::optional<OwnerRow> mPredecessor;
  bool mReading = false;
  bool mClaiming = false;
  TimePoint mNextRead;
  // The first claim of the newest term that this node has tried. Its answer may
  // be lost and it may be applied late, but never before.
  Epoch mClaimedEpoch;
  TimePoint mClaimedAt;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::cellnode
