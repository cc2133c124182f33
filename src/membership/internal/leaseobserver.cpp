#include "membership/leaseobserver.h"

#include <utility>

namespace oriolevane::membership {

LeaseObserver::LeaseObserver(LeaseObserverOptions aOptions)
  : mOptions(aOptions)
{
}

void
LeaseObserver::Observe(const TableView& aView,
                       bool aCounts,
                       const ReadSpan& aSpan)
{
  const Duration counted = CountedTime(aCounts, aSpan);
  mLastEnd = aSpan.mEnd;
  mHasRead = true;
  std::map<NodeId, Observation> nodes;
  for (const auto& [node, row] : aView.mNodes) {
    Observation seen{ .mVersion = row.mVersion,
                      .mIncarnation = row.mRow.mIncarnation };
    const auto before = mNodes.find(node);
    if (before != mNodes.end()) {
      const Observation& last = before->second;
      const bool unchanged = last.mVersion == seen.mVersion;
      seen.mUnchangedFor =
        unchanged ? last.mUnchangedFor + counted : Duration::zero();
      const bool wasLive = last.mIncarnation == seen.mIncarnation &&
                           last.mUnchangedFor < mOptions.mLeaseTtl;
      seen.mLiveFor = wasLive ? last.mLiveFor + counted : Duration::zero();
    }
    nodes.emplace(node, seen);
  }
  mNodes = std::move(nodes);
}

bool
LeaseObserver::IsExpired(const NodeId& aNode) const
{
  const auto at = mNodes.find(aNode);
  return at == mNodes.end() || at->second.mUnchangedFor >= mOptions.mLeaseTtl;
}

Duration
LeaseObserver::UnchangedFor(const NodeId& aNode) const
{
  const auto at = mNodes.find(aNode);
  return at == mNodes.end() ? Duration::zero() : at->second.mUnchangedFor;
}

Duration
LeaseObserver::LiveFor(const NodeId& aNode) const
{
  const auto at = mNodes.find(aNode);
  return at == mNodes.end() ? Duration::zero() : at->second.mLiveFor;
}

Duration
LeaseObserver::CountedTime(bool aCounts, const ReadSpan& aSpan) const
{
  if (!mHasRead || !aCounts) {
    return Duration::zero();
  }
  const Duration gap = aSpan.mStart - mLastEnd;
  const bool counts = gap > Duration::zero() && gap <= aSpan.mMostCountedGap;
  return counts ? gap : Duration::zero();
}

} // namespace oriolevane::membership
