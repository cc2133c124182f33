// Spreads queries to the policy service over the nodes, since the service
// handles the calls of one host in turn. Deterministic.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "framework/types/ids.h"
#include "jobs/types/orders.h"

namespace oriolevane::cellnode {

using QueryId = NumberId<struct QueryIdTag, std::uint64_t>;

struct AdviceDeskHooks
{
  std::function<void(const NodeId&, QueryId, const jobs::AdviceQuery&)> mSend;
};

class AdviceDesk
{
public:
  explicit AdviceDesk(AdviceDeskHooks aHooks);

  // The node can ask from now on.
  void AddAsker(const NodeId& aNode);
  // The node is gone; what it was asking is given to another.
  void RemoveAsker(const NodeId& aNode);
  void Add(const jobs::AdviceQuery& aQuery);
  // Returns false when nobody waits for the answer any more.
  bool OnAnswer(QueryId aId);
  std::size_t Waiting() const { return mWaiting.size(); }

private:
  struct Asker
  {
    std::map<QueryId, jobs::AdviceQuery> mOpen;
    std::chrono::microseconds mCost{ 0 };
  };
  // Cheap queries first, then the older.
  using WaitingKey = std::pair<std::chrono::microseconds, QueryId>;

  void Assign();
  Asker* ChooseAsker(std::chrono::microseconds aCost, NodeId& aName);

  AdviceDeskHooks mHooks;
  std::map<NodeId, Asker> mAskers;
  std::map<WaitingKey, jobs::AdviceQuery> mWaiting;
  QueryId mLastId;
};

} // namespace oriolevane::cellnode
