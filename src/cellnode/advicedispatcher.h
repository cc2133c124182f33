// Distributes queries to the policy service over the nodes of the cell, because
// the service handles the calls of one host one after another. Deterministic.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "framework/types/ids.h"
#include "jobs/types/orders.h"

namespace oriolevane::cellnode {

using QueryId = NumberId<struct QueryIdTag, std::uint64_t>;

struct AdviceDispatcherHooks
{
  // Sends a query to a node, which passes it to the policy service.
  std::function<void(const NodeId&, QueryId, const jobs::AdviceQuery&)> mSend;
};

class AdviceDispatcher
{
public:
  explicit AdviceDispatcher(AdviceDispatcherHooks aHooks);

  // Makes the node available for queries.
  void AddNode(const NodeId& aNode);
  // Removes a node and reassigns its outstanding queries to other nodes.
  void RemoveNode(const NodeId& aNode);
  // Sends the query to a node, or keeps it until one has capacity.
  void Add(const jobs::AdviceQuery& aQuery);
  // Takes an answer and returns its query, or nothing when the query is not
  // outstanding any more.
  std::optional<jobs::AdviceQuery> OnAnswer(QueryId aId);
  std::size_t NodeCount() const { return mNodeLoads.size(); }

private:
  // The outstanding queries of a node and their total service time.
  struct NodeLoad
  {
    std::map<QueryId, jobs::AdviceQuery> mQueries;
    std::chrono::microseconds mServiceTime{ 0 };
  };
  // Orders waiting queries by service time, then by age.
  using WaitingKey = std::pair<std::chrono::microseconds, QueryId>;

  void Assign();
  NodeLoad* ChooseNode(std::chrono::microseconds aServiceTime, NodeId& aName);

  AdviceDispatcherHooks mHooks;
  std::map<NodeId, NodeLoad> mNodeLoads;
  std::map<WaitingKey, jobs::AdviceQuery> mWaiting;
  QueryId mLastId;
};

} // namespace oriolevane::cellnode
