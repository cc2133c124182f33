#include "cellnode/waitingqueries.h"

#include <algorithm>

namespace oriolevane::cellnode {

void
WaitingQueries::Add(QueryId aId, PendingQuery aQuery)
{
  Queries& queries = aQuery.mQuery.mBoundedWait ? mBounded : mOthers;
  const TimePoint order =
    aQuery.mQuery.mBoundedWait ? aQuery.mAddedAt : aQuery.mDue;
  mServiceTime += aQuery.mQuery.mServiceTime;
  queries.emplace(std::pair(order, aId), std::move(aQuery));
}

bool
WaitingQueries::IsBoundedNext() const
{
  return !mBounded.empty() &&
         (mOthers.empty() || mBoundedTurns + 1 < kTurnsPerOther);
}

const PendingQuery&
WaitingQueries::Next() const
{
  return (IsBoundedNext() ? mBounded : mOthers).begin()->second;
}

std::pair<QueryId, PendingQuery>
WaitingQueries::DropNext()
{
  Queries& queries = IsBoundedNext() ? mBounded : mOthers;
  auto node = queries.extract(queries.begin());
  mServiceTime -= node.mapped().mQuery.mServiceTime;
  return { node.key().second, std::move(node.mapped()) };
}

std::pair<QueryId, PendingQuery>
WaitingQueries::TakeNext()
{
  mBoundedTurns = IsBoundedNext() ? mBoundedTurns + 1 : 0;
  return DropNext();
}

void
WaitingQueries::ReplaceNext(jobs::AdviceQuery aQuery)
{
  Queries& queries = IsBoundedNext() ? mBounded : mOthers;
  jobs::AdviceQuery& query = queries.begin()->second.mQuery;
  mServiceTime += aQuery.mServiceTime - query.mServiceTime;
  query = std::move(aQuery);
}

void
WaitingQueries::AddTo(AdviceBacklog& aBacklog, TimePoint aNow) const
{
  for (const Queries* queries : { &mBounded, &mOthers }) {
    for (const auto& [key, query] : *queries) {
      ++aBacklog.mQueries;
      aBacklog.mLongestWait =
        std::max(aBacklog.mLongestWait, aNow - query.mAddedAt);
      aBacklog.mServiceTime += query.mQuery.mServiceTime;
    }
  }
}

void
WaitingQueries::AddTo(jobs::QueryCounts& aCounts) const
{
  for (const Queries* queries : { &mBounded, &mOthers }) {
    for (const auto& [key, query] : *queries) {
      ++aCounts[query.mQuery.mStep];
    }
  }
}

} // namespace oriolevane::cellnode
