// Decides, from reads of the membership rows, what a node takes, hands over and
// has lost. Deterministic: no I/O, threads or clock.
//
// Ownership is only ever learned by reading a row, so that a write whose answer
// was lost is treated like any other: the next read shows the node as owner, by
// its id, incarnation and epoch, or shows another.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "membership/leaseobserver.h"
#include "membership/types/member.h"
#include "membership/types/rowref.h"
#include "membership/types/tableview.h"
#include "store/types/transaction.h"

namespace oriolevane::membership {

struct PlannerOptions
{
  NodeId mNode;
  Incarnation mIncarnation;
  std::uint32_t mPartitions = 16;
  std::uint32_t mShards = 8;
  LeaseObserverOptions mLeases;
  // A node must have been live for this long before rows are handed to it.
  std::chrono::milliseconds mSettleTime{ 6'000 };
  // Rows taken within one mTakeoverInterval.
  std::size_t mMostTakeovers = 8;
  std::chrono::milliseconds mTakeoverInterval{ 1'000 };
  // Rows under hand-over for rebalancing at once. A leaving node hands over
  // all of its rows at once.
  std::size_t mMostHandOvers = 2;
  // A node row that has stayed expired for this long is removed.
  std::chrono::milliseconds mForgetAfter{ 120'000 };
};

// A row that this node now owns. Earlier epochs from mLogFromEpoch on may have
// left log records.
struct AcquiredRow
{
  RowRef mRow;
  Epoch mEpoch;
  std::uint64_t mVersion = 0;
  Epoch mLogFromEpoch;

  bool operator==(const AcquiredRow&) const = default;
};

// A row that this node owned in mEpoch and that now is another's.
struct DeposedRow
{
  RowRef mRow;
  Epoch mEpoch;

  bool operator==(const DeposedRow&) const = default;
};

struct Plan
{
  std::vector<AcquiredRow> mAcquired;
  std::vector<DeposedRow> mDeposed;
  // Rows that this node should stop serving and then release.
  std::vector<RowRef> mHandOver;
  std::vector<store::Transaction> mTakeovers;
  // More rows are to be taken once the pace allows it.
  bool mTakeoversWithheld = false;
  // Another live node owns a row that should become this node's.
  bool mExpectsRows = false;
  std::vector<store::Transaction> mReleases;
  // Removals of rows of nodes that are long gone.
  std::vector<store::Transaction> mRemovals;
  // Live and leaving nodes in order of their ids.
  std::vector<Member> mMembers;
};

class OwnershipPlanner
{
public:
  explicit OwnershipPlanner(PlannerOptions aOptions);

  // One round. aRenewed: this node's own renewal has succeeded since the last
  // round; only then do unchanged rows of others count as unrenewed.
  Plan Next(const TableView& aView, bool aRenewed, const ReadSpan& aSpan);

  // The row is no longer served and is to be given up; repeated each round
  // until a read shows that it is not this node's any more.
  void Release(const RowRef& aRow);
  // The node stops as planned: it takes nothing, and from aHandOverFrom on it
  // hands everything over.
  void Leave(TimePoint aHandOverFrom);
  // Nodes that operators have drained own nothing.
  void SetDrained(std::set<NodeId> aNodes) { mDrained = std::move(aNodes); }
  // Whether the last read showed any row as this node's.
  bool OwnsNothing() const { return mHeld.empty(); }

private:
  struct Held
  {
    Epoch mEpoch;
    bool mReleasing = false;
    bool mHandingOver = false;
  };

  void Recognise(const TableView& aView, Plan& aPlan);
  void RecogniseRow(const RowRef& aRow,
                    const OwnershipRow& aContent,
                    std::uint64_t aVersion,
                    Plan& aPlan);
  std::vector<NodeId> Candidates(const TableView& aView) const;
  void PlanKind(RowKind aKind,
                std::uint32_t aCount,
                const TableView& aView,
                const std::vector<NodeId>& aCandidates,
                Plan& aPlan);
  void PlanTakeover(const RowRef& aRow, const TableView& aView, Plan& aPlan);
  void PlanHandOver(const RowRef& aRow, const NodeId& aDesired, Plan& aPlan);
  bool MayHandOverTo(const NodeId& aDesired) const;
  void PlanReleases(const TableView& aView, Plan& aPlan);
  void PlanRemovals(const TableView& aView,
                    const std::vector<NodeId>& aCandidates,
                    Plan& aPlan) const;
  std::vector<Member> Members(const TableView& aView) const;
  bool IsFree(const OwnershipRow& aRow, const TableView& aView) const;
  bool IsSelfLive(const TableView& aView) const;
  std::size_t HandOversUnderWay() const;

  PlannerOptions mOptions;
  LeaseObserver mLeases;
  bool mLeaving = false;
  TimePoint mHandOverFrom{};
  TimePoint mNow{};
  std::set<NodeId> mDrained;
  std::map<RowRef, Held> mHeld;
  TimePoint mPaceStart{};
  std::size_t mTakeoversInPace = 0;
};

} // namespace oriolevane::membership
