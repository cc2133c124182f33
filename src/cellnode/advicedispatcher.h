// Distributes queries to the policy service over the nodes of the cell, because
// the service handles the calls of one host one after another. Deterministic.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "cellnode/types/pendingquery.h"
#include "cellnode/types/requestids.h"
#include "cellnode/waitingqueries.h"
#include "framework/steadynow.h"

namespace oriolevane::cellnode {

struct AdviceDispatcherHooks
{
  // Sends a query to a node, which passes it to the policy service.
  std::function<void(const NodeId&, QueryId, const jobs::AdviceQuery&)> mSend;
  // Returns the query to send in place of one that has waited, or nothing when
  // its answer is not needed any more.
  std::function<std::optional<jobs::AdviceQuery>(const jobs::AdviceQuery&)>
    mUpdate = [](const jobs::AdviceQuery& aQuery) { return aQuery; };
  // Called when a query gets no answer: its node has not answered in time, or
  // it was not wanted any more when a node had capacity.
  std::function<void(const jobs::AdviceQuery&)> mOnUnanswered =
    [](const jobs::AdviceQuery&) {};
  std::function<TimePoint()> mNow = [] { return SteadyNow(); };
};

// Every query that is added is either answered or reported as unanswered.
class AdviceDispatcher
{
public:
  // The ids of queries belong to the ownership term aEpoch.
  AdviceDispatcher(Epoch aEpoch, AdviceDispatcherHooks aHooks);

  // Makes the node available for queries.
  void AddNode(const NodeId& aNode);
  // Removes a node and reassigns its outstanding queries to other nodes.
  void RemoveNode(const NodeId& aNode);
  // Sends the query to a node, or keeps it until one has capacity.
  void Add(const jobs::AdviceQuery& aQuery);
  // Takes an answer and returns its query, or nothing when the query is not
  // outstanding any more.
  std::optional<jobs::AdviceQuery> OnAnswer(QueryId aId);
  // Gives up the queries that a node should have answered by now, so that the
  // node gets further ones, and sends those that have become overdue. To be
  // called every few milliseconds.
  void Expire();
  // Logs a backlog that is too old, at most once in a while.
  void ReportBacklog();
  AdviceBacklog Backlog() const;
  // How long a query that is added now is expected to wait for a node.
  Duration ExpectedWait() const;
  // Counts the queries that wait for a node or for an answer.
  jobs::QueryCounts PendingQueries() const;
  // False for the id of a query that was sent in another term.
  bool HasSent(QueryId aId) const { return mIds.HasIssued(aId); }
  std::size_t NodeCount() const { return mNodeLoads.size(); }

private:
  // The outstanding queries of a node and their total service time.
  struct NodeLoad
  {
    std::map<QueryId, PendingQuery> mQueries;
    std::chrono::microseconds mServiceTime{ 0 };
  };
  void AddWaiting(QueryId aId, PendingQuery aQuery);
  void Assign();
  // Sends the query that is due first of those that a node has capacity for.
  // Returns false when there is none.
  bool AssignNext();
  // Sends the first query of a queue. Returns false when no node has capacity.
  bool AssignFirst(WaitingQueries& aWaiting);
  // Updates the query to be sent next, as it may have waited. Returns false
  // when the query has gone: it was not needed any more, or is short instead of
  // long now, or the reverse.
  bool UpdateNext(WaitingQueries& aWaiting);
  NodeLoad* ChooseNode(bool aLong, NodeId& aName);

  AdviceDispatcherHooks mHooks;
  std::map<NodeId, NodeLoad> mNodeLoads;
  WaitingQueries mWaitingShort;
  WaitingQueries mWaitingLong;
  RequestIds<QueryId> mIds;
  TimePoint mNextBacklogReport;
};

} // namespace oriolevane::cellnode
