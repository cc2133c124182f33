#include "membership/ownershipplanner.h"

#include <algorithm>
#include <utility>

#include "membership/ownerassignment.h"
#include "membership/rowcodec.h"

namespace oriolevane::membership {

namespace {

store::RowCondition
ConditionOnNode(const NodeId& aNode, const TableView& aView)
{
  const auto at = aView.mNodes.find(aNode);
  const std::uint64_t version =
    at == aView.mNodes.end() ? 0 : at->second.mVersion;
  return { .mKey = NodeRowKey(aNode), .mVersion = version };
}

} // namespace

OwnershipPlanner::OwnershipPlanner(PlannerOptions aOptions)
  : mOptions(std::move(aOptions))
  , mLeases(mOptions.mLeases)
{
}

Plan
OwnershipPlanner::Next(const TableView& aView,
                       bool aRenewed,
                       const ReadSpan& aSpan)
{
  mLeases.Observe(aView, aRenewed, aSpan);
  mNow = aSpan.mStart;
  if (aSpan.mStart - mPaceStart >= mOptions.mTakeoverInterval) {
    mPaceStart = aSpan.mStart;
    mTakeoversInPace = 0;
  }
  Plan plan;
  Recognise(aView, plan);
  const std::vector<NodeId> candidates = Candidates(aView);
  PlanKind(RowKind::Partition, mOptions.mPartitions, aView, candidates, plan);
  PlanKind(RowKind::Shard, mOptions.mShards, aView, candidates, plan);
  PlanReleases(aView, plan);
  PlanRemovals(aView, candidates, plan);
  plan.mMembers = Members(aView);
  return plan;
}

void
OwnershipPlanner::Release(const RowRef& aRow)
{
  const auto held = mHeld.find(aRow);
  if (held != mHeld.end()) {
    held->second.mReleasing = true;
  }
}

void
OwnershipPlanner::Leave(TimePoint aHandOverFrom)
{
  mLeaving = true;
  mHandOverFrom = aHandOverFrom;
}

void
OwnershipPlanner::Recognise(const TableView& aView, Plan& aPlan)
{
  for (const auto& [ref, row] : aView.mOwnership) {
    RecogniseRow(ref, row.mRow, row.mVersion, aPlan);
  }
  for (auto held = mHeld.begin(); held != mHeld.end();) {
    const bool gone = !aView.mOwnership.contains(held->first) &&
                      !aView.mUnreadable.contains(held->first);
    if (gone) {
      aPlan.mDeposed.push_back({ held->first, held->second.mEpoch });
      held = mHeld.erase(held);
    } else {
      ++held;
    }
  }
}

void
OwnershipPlanner::RecogniseRow(const RowRef& aRow,
                               const OwnershipRow& aContent,
                               std::uint64_t aVersion,
                               Plan& aPlan)
{
  const bool mine = aContent.IsOwnedBy(mOptions.mNode, mOptions.mIncarnation);
  const auto held = mHeld.find(aRow);
  if (held != mHeld.end()) {
    if (mine && held->second.mEpoch == aContent.mEpoch) {
      return;
    }
    if (!held->second.mReleasing) {
      aPlan.mDeposed.push_back({ aRow, held->second.mEpoch });
    }
    mHeld.erase(held);
  }
  if (mine) {
    mHeld[aRow] = { .mEpoch = aContent.mEpoch };
    aPlan.mAcquired.push_back({ .mRow = aRow,
                                .mEpoch = aContent.mEpoch,
                                .mVersion = aVersion,
                                .mLogFromEpoch = aContent.mLogFromEpoch });
  }
}

std::vector<NodeId>
OwnershipPlanner::Candidates(const TableView& aView) const
{
  std::vector<NodeId> candidates;
  for (const auto& [node, row] : aView.mNodes) {
    const bool self = node == mOptions.mNode;
    const bool usable = self ? IsSelfLive(aView) : !mLeases.IsExpired(node);
    if (usable && !row.mRow.mLeaving && !mDrained.contains(node)) {
      candidates.push_back(node);
    }
  }
  return candidates;
}

void
OwnershipPlanner::PlanKind(RowKind aKind,
                           std::uint32_t aCount,
                           const TableView& aView,
                           const std::vector<NodeId>& aCandidates,
                           Plan& aPlan)
{
  const std::vector<NodeId> desired = AssignOwners(aKind, aCount, aCandidates);
  for (std::uint32_t number = 0; number < aCount; ++number) {
    const RowRef ref{ aKind, number };
    if (mHeld.contains(ref)) {
      PlanHandOver(ref, desired.empty() ? NodeId() : desired[number], aPlan);
    } else if (!desired.empty() && desired[number] == mOptions.mNode) {
      PlanTakeover(ref, aView, aPlan);
    }
  }
}

void
OwnershipPlanner::PlanTakeover(const RowRef& aRow,
                               const TableView& aView,
                               Plan& aPlan)
{
  const auto at = aView.mOwnership.find(aRow);
  const bool exists = at != aView.mOwnership.end();
  if (aView.mUnreadable.contains(aRow)) {
    return;
  }
  if (exists && !IsFree(at->second.mRow, aView)) {
    aPlan.mExpectsRows = true;
    return;
  }
  if (mTakeoversInPace >= mOptions.mMostTakeovers) {
    aPlan.mTakeoversWithheld = true;
    return;
  }
  ++mTakeoversInPace;
  const OwnershipRow before = exists ? at->second.mRow : OwnershipRow{};
  const std::uint64_t version = exists ? at->second.mVersion : 0;
  store::Transaction transaction;
  if (!before.mOwner.Empty() && before.mOwner != mOptions.mNode) {
    transaction.mConditions.push_back(ConditionOnNode(before.mOwner, aView));
  }
  OwnershipRow taken = before;
  taken.mEpoch = Epoch(before.mEpoch.mValue + 1);
  taken.mLogFromEpoch = std::max(before.mLogFromEpoch, Epoch(1));
  taken.mOwner = mOptions.mNode;
  taken.mOwnerIncarnation = mOptions.mIncarnation;
  const std::string key = OwnershipRowKey(aRow);
  transaction.mConditions.push_back({ key, version });
  transaction.mMutations.push_back({ key, EncodeOwnershipRow(taken) });
  aPlan.mTakeovers.push_back(std::move(transaction));
}

void
OwnershipPlanner::PlanHandOver(const RowRef& aRow,
                               const NodeId& aDesired,
                               Plan& aPlan)
{
  Held& held = mHeld[aRow];
  if (held.mHandingOver || held.mReleasing) {
    return;
  }
  if (!MayHandOverTo(aDesired)) {
    return;
  }
  held.mHandingOver = true;
  aPlan.mHandOver.push_back(aRow);
}

bool
OwnershipPlanner::MayHandOverTo(const NodeId& aDesired) const
{
  if (mLeaving) {
    return mNow >= mHandOverFrom;
  }
  return !aDesired.Empty() && aDesired != mOptions.mNode &&
         mLeases.LiveFor(aDesired) >= mOptions.mSettleTime &&
         HandOversUnderWay() < mOptions.mMostHandOvers;
}

void
OwnershipPlanner::PlanReleases(const TableView& aView, Plan& aPlan)
{
  for (const auto& [ref, held] : mHeld) {
    const auto at = aView.mOwnership.find(ref);
    if (!held.mReleasing || at == aView.mOwnership.end()) {
      continue;
    }
    OwnershipRow released = at->second.mRow;
    released.mOwner = NodeId();
    released.mOwnerIncarnation = Incarnation();
    const std::string key = OwnershipRowKey(ref);
    aPlan.mReleases.push_back(
      { .mConditions = { { key, at->second.mVersion } },
        .mMutations = { { key, EncodeOwnershipRow(released) } } });
  }
}

void
OwnershipPlanner::PlanRemovals(const TableView& aView,
                               const std::vector<NodeId>& aCandidates,
                               Plan& aPlan) const
{
  if (aCandidates.empty() || aCandidates.front() != mOptions.mNode) {
    return;
  }
  for (const auto& [node, row] : aView.mNodes) {
    if (node != mOptions.mNode &&
        mLeases.UnchangedFor(node) >= mOptions.mForgetAfter) {
      const std::string key = NodeRowKey(node);
      aPlan.mRemovals.push_back({ .mConditions = { { key, row.mVersion } },
                                  .mMutations = { { key, std::nullopt } } });
    }
  }
}

std::vector<Member>
OwnershipPlanner::Members(const TableView& aView) const
{
  std::vector<Member> members;
  for (const auto& [node, row] : aView.mNodes) {
    if (node == mOptions.mNode || !mLeases.IsExpired(node)) {
      members.push_back({ .mNode = node,
                          .mIncarnation = row.mRow.mIncarnation,
                          .mAddress = row.mRow.mAddress,
                          .mZone = row.mRow.mZone,
                          .mLeaving = row.mRow.mLeaving });
    }
  }
  return members;
}

// Free to take: released, or held by a process that is gone.
bool
OwnershipPlanner::IsFree(const OwnershipRow& aRow, const TableView& aView) const
{
  if (aRow.mOwner.Empty()) {
    return true;
  }
  const auto owner = aView.mNodes.find(aRow.mOwner);
  if (owner == aView.mNodes.end()) {
    return true;
  }
  if (owner->second.mRow.mIncarnation != aRow.mOwnerIncarnation) {
    return true;
  }
  return aRow.mOwner != mOptions.mNode && mLeases.IsExpired(aRow.mOwner);
}

bool
OwnershipPlanner::IsSelfLive(const TableView& aView) const
{
  const auto self = aView.mNodes.find(mOptions.mNode);
  return !mLeaving && self != aView.mNodes.end() &&
         self->second.mRow.mIncarnation == mOptions.mIncarnation;
}

std::size_t
OwnershipPlanner::HandOversUnderWay() const
{
  return static_cast<std::size_t>(
    std::count_if(mHeld.begin(), mHeld.end(), [](const auto& aEntry) {
      return aEntry.second.mHandingOver;
    }));
}

} // namespace oriolevane::membership
