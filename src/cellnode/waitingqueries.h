// Orders the queries to the policy service that wait for a node.
#pragma once

#include <cstddef>
#include <map>
#include <utility>

#include "cellnode/types/pendingquery.h"

namespace oriolevane::cellnode {

// Queries whose steps must start within a bounded time go first, by age. The
// others go by the time at which they are due. While both kinds wait, the
// others get one turn in kTurnsPerOther, so that neither waits for all of the
// other kind.
class WaitingQueries
{
public:
  static constexpr std::size_t kTurnsPerOther = 4;

  void Add(QueryId aId, PendingQuery aQuery);
  bool IsEmpty() const { return mBounded.empty() && mOthers.empty(); }
  // The query to be sent next. There must be one.
  const PendingQuery& Next() const;
  // Removes the query to be sent next, and counts its turn.
  std::pair<QueryId, PendingQuery> TakeNext();
  // Replaces the query to be sent next, which keeps its place.
  void ReplaceNext(jobs::AdviceQuery aQuery);
  // Removes the query that would be sent next, without a turn.
  std::pair<QueryId, PendingQuery> DropNext();
  // The time that the policy service needs to handle all of them.
  std::chrono::microseconds ServiceTime() const { return mServiceTime; }
  // Adds the queries to what is known of all that wait.
  void AddTo(AdviceBacklog& aBacklog, TimePoint aNow) const;
  // Adds the queries to the counts of their steps.
  void AddTo(jobs::QueryCounts& aCounts) const;

private:
  using Queries = std::map<std::pair<TimePoint, QueryId>, PendingQuery>;

  bool IsBoundedNext() const;

  Queries mBounded;
  Queries mOthers;
  std::chrono::microseconds mServiceTime{ 0 };
  // The number of bounded queries that have been sent since another one was.
  std::size_t mBoundedTurns = 0;
};

} // namespace oriolevane::cellnode
