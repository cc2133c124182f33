// Decides when a node that does not own the shard tries to take it over.
// Deterministic.
//
// Taking over is always safe: the store lets only one node at a time own the
// shard, and workers refuse the orders of earlier owners. The rules here only
// prevent unnecessary takeovers.
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
  // Identifies this process among those that run on the node one after another.
  Incarnation mIncarnation;
  // How suitable this host is to own the shard, from 0 to 1. Nodes with a
  // higher value try first.
  double mFitness = 0.5;
  // The owner row is read after this time without a message from the owner, or
  // without a write of it to the store. It is below the timeouts that follow,
  // so that it is known by then how long the row has stayed unchanged.
  std::chrono::milliseconds mReadRowAfter{ 350 };
  std::chrono::milliseconds mReadRowAfterStoreAge{ 500 };
  // An owner is suspected to have failed after this time without a message.
  std::chrono::milliseconds mHeartbeatTimeout{ 800 };
  // An owner is suspected to have failed after this time without a write to the
  // store.
  std::chrono::milliseconds mStoreWriteTimeout{ 900 };
  // A suspected owner is replaced only after its row has stayed unchanged for
  // this time and for this number of store round trips. The second limit allows
  // for a slow store, which is slow for the owner as well.
  std::chrono::milliseconds mMinUnchanged{ 450 };
  int mMinUnchangedRoundTrips = 6;
  // Replaces the first limit for an owner that has neither written nor been
  // heard of since it took over. Its first write and its messages may wait
  // behind the records that it reads.
  std::chrono::milliseconds mMinUnchangedUnheard{ 1100 };
  // An owner that is replaced sooner than this after it took over, while it is
  // still connected, is more likely to be busy with the recovery than to have
  // failed. The two timeouts are doubled for its successors, up to the factor,
  // until one of them lasts.
  std::chrono::milliseconds mMinOwnership{ 5000 };
  int mMaxTimeoutFactor = 4;
  // Nodes of similar fitness try at different times within this interval.
  std::chrono::milliseconds mMaxStagger{ 160 };
  // The maximum additional delay of a node that is less fit than others.
  std::chrono::milliseconds mMaxUnfitDelay{ 700 };
};

class OwnershipPolicy
{
public:
  explicit OwnershipPolicy(OwnershipOptions aOptions);

  // Notes a message from the owner over its link. aStoreAge is the time since
  // the owner's last write to the store.
  void OnOwnerContact(Epoch aEpoch, Duration aStoreAge, TimePoint aNow);
  // Sets the highest fitness in the cell, as reported by the owner.
  void SetBestFitness(double aFitness) { mBestFitness = aFitness; }
  double BestFitness() const { return mBestFitness; }
  // Notes that the owner's link closed or that the owner is not reachable.
  void OnOwnerDisconnected(TimePoint aNow);
  // Notes that the process at the owner's address does not own the shard in
  // that epoch.
  void OnOwnershipDenied(Epoch aEpoch);
  // Notes that the owner of that epoch asked this node to take over.
  void OnHandover(Epoch aEpoch);
  // Takes the owner row as it was read, with the duration of the call; nullopt
  // when the row does not exist.
  void OnRowRead(const std::optional<OwnerRow>& aRow,
                 RowVersion aVersion,
                 TimePoint aNow,
                 Duration aRoundTrip = {});
  // Notes that the owner row could not be read, or that a claim failed.
  void OnReadFailed();

  // True when the owner may have failed, so that its row should be read.
  bool ShouldReadRow(TimePoint aNow) const;
  // The version of the owner row to replace, if this node should claim the
  // shard now.
  std::optional<RowVersion> VersionToClaim(TimePoint aNow) const;
  // The time since the last message of the owner; negative without a contact.
  Duration OwnerSilence(TimePoint aNow) const
  {
    return mLastContactAt.has_value() ? aNow - *mLastContactAt
                                      : Duration(std::chrono::milliseconds(-1));
  }
  // The time since the owner's last write to the store, as it last reported.
  Duration OwnerStoreAge() const { return mStoreAge; }
  // The owner row as it was last read.
  const std::optional<OwnerRow>& Row() const { return mRow; }

private:
  // True when the present owner took over long enough ago.
  bool HasLasted(TimePoint aNow) const;
  // The factor on the timeouts of the present owner; 1 once it has lasted.
  int TimeoutFactor(TimePoint aNow) const;
  // Notes that a node owns the shard in that epoch.
  void NoteEpoch(Epoch aEpoch, TimePoint aNow);
  // True when the owner has sent no message for aSilence, or has not written to
  // the store for aStoreAge.
  bool IsOverdue(Duration aSilence, Duration aStoreAge, TimePoint aNow) const;
  // True when the owner row names an earlier process of this node.
  bool OwnedByFormerProcess() const;
  // Spreads the claims of nodes of similar fitness.
  Duration Stagger() const;
  // The additional delay of a node that is less fit than the fittest one.
  Duration UnfitDelay(double aBestFitness) const;

  OwnershipOptions mOptions;
  std::optional<OwnerRow> mRow;
  RowVersion mVersion;
  // True when the last read of the row succeeded and its result still applies.
  bool mRowKnown = false;
  TimePoint mUnchangedSince;
  Duration mRoundTrip{};
  std::optional<TimePoint> mLastContactAt;
  // The epoch of the owner that this node last had contact with.
  Epoch mContactEpoch;
  Duration mStoreAge{};
  double mBestFitness = 1.0;
  Epoch mNewestEpoch;
  TimePoint mNewestEpochSeenAt;
  // Factor on the timeouts of an owner that has not lasted yet.
  int mTimeoutFactor = 1;
  Epoch mDeniedEpoch;
  Epoch mHandoverEpoch;
};

} // namespace oriolevane::cellnode
