// Reads and claims the owner row of the shard for a node that does not own it.
// The row is read while the owner is suspected to have failed, and claimed when
// OwnershipPolicy decides so.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "cellnode/ownershippolicy.h"
#include "cellnode/types/nodehooks.h"

namespace oriolevane::cellnode {

// A shard that this node has become the owner of.
struct ClaimedShard
{
  OwnerRow mRow;
  RowVersion mVersion;
  // The claim was not applied before this time.
  TimePoint mOwnedSince;
  // The previous owner; nullopt when there was none.
  std::optional<OwnerRow> mPredecessor;
};

struct ShardClaimerHooks
{
  // Returns the highest epoch that this node knows.
  std::function<Epoch()> mHighestEpoch;
  // Called when the row names another node, or was released.
  std::function<void(const OwnerRow&)> mOnOwnerRow;
  // Called when this node has become the owner.
  std::function<void(const ClaimedShard&)> mOnClaimed;
};

class ShardClaimer
{
public:
  // The referenced objects must outlive this one.
  ShardClaimer(const NodeOptions& aOptions,
               const RowStoreHooks& aStore,
               OwnershipPolicy& aPolicy,
               ShardClaimerHooks aHooks);
  ShardClaimer(const ShardClaimer&) = delete;
  ShardClaimer& operator=(const ShardClaimer&) = delete;
  ~ShardClaimer();

  // Reads or claims the owner row when the policy asks for it.
  void Advance(TimePoint aNow);
  // Lets the next Advance() read the row without waiting for the interval.
  void ReadSoon() { mNextRead = {}; }

private:
  void Read(TimePoint aNow);
  void OnPage(const absl::StatusOr<RowPage>& aPage, TimePoint aSentAt);
  void Claim(RowVersion aVersion, TimePoint aNow);
  bool IsOwnRow(const OwnerRow& aRow) const;

  const NodeOptions& mOptions;
  const RowStoreHooks& mStore;
  OwnershipPolicy& mPolicy;
  ShardClaimerHooks mHooks;
  std::optional<OwnerRow> mPredecessor;
  bool mReading = false;
  bool mClaiming = false;
  TimePoint mNextRead;
  // The newest epoch that this node has tried to claim, and when it first sent
  // that claim. If the answer was lost, the claim may have been applied at any
  // time after that, but not before.
  Epoch mClaimedEpoch;
  TimePoint mClaimedAt;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::cellnode
