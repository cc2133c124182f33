// When a node that does not own the shard tries to take it over. Deterministic.
//
// Taking over is always safe: the store lets one node at a time own the shard,
// and workers refuse the orders of earlier owners. The rules here only keep
// nodes from taking over without need.
#pragma once

#include <optional>
#include <string>

#include "cellnode/types/ownerrow.h"
#include "cellnode/types/rows.h"
#include "framework/types/timepoint.h"

namespace oriolevane::cellnode {

struct OwnershipOptions
{
  NodeId mNode;
  // How well this host can carry the shard, 0 to 1; the fitter go first.
  double mFitness = 0.5;
  // An owner that says nothing for so long is in doubt.
  std::chrono::milliseconds mSilence{ 800 };
  // An owner that has not written to the store for so long is in doubt.
  std::chrono::milliseconds mStoreSilence{ 900 };
  // The owner row must have stayed the same for so long, and for several round
  // trips to a slow store, which is slow for the owner too.
  std::chrono::milliseconds mUnchanged{ 450 };
  int mUnchangedRoundTrips = 6;
  // Nodes that are alike try one after the other within this time.
  std::chrono::milliseconds mSpread{ 160 };
  // A node waits so long for fitter ones.
  std::chrono::milliseconds mUnfitWait{ 700 };
};

class OwnershipPolicy
{
public:
  explicit OwnershipPolicy(OwnershipOptions aOptions);

  // The owner was heard over its link; aStoreAge is the time since its last
  // write.
  void OnOwnerHeard(Epoch aEpoch, Duration aStoreAge, TimePoint aNow);
  // The fittest node of the cell, as its owner knows it.
  void SetBestFitness(double aFitness) { mBestFitness = aFitness; }
  // The link to the owner closed.
  void OnOwnerGone(TimePoint aNow);
  // The process at the owner's address does not own the shard.
  void OnOwnerDenied(Epoch aEpoch);
  // The owner asked this node to take its place.
  void OnHandover(Epoch aEpoch);
  // The owner row was read, which took aRoundTrip; nothing when there is none.
  void OnRowRead(const std::optional<OwnerRow>& aRow,
                 RowVersion aVersion,
                 TimePoint aNow,
                 Duration aRoundTrip = {});
  void OnReadFailed();

  // The owner is in doubt, so that its row should be read.
  bool WantsRow(TimePoint aNow) const;
  // The row version to replace, when it is time to.
  std::optional<RowVersion> WantsOwnership(TimePoint aNow) const;
  const std::optional<OwnerRow>& Row() const { return mRow; }
  RowVersion RowVersionRead() const { return mVersion; }

private:
  Duration Delay() const;

  OwnershipOptions mOptions;
  std::optional<OwnerRow> mRow;
  RowVersion mVersion;
  // The last read of the row succeeded.
  bool mRowKnown = false;
  TimePoint mUnchangedSince;
  Duration mRoundTrip{};
  std::optional<TimePoint> mHeardAt;
  Duration mStoreAge{};
  double mBestFitness = 1.0;
  Epoch mDeniedEpoch;
  Epoch mHandoverEpoch;
};

} // namespace oriolevane::cellnode
