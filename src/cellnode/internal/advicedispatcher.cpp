#include "cellnode/advicedispatcher.h"

#include <algorithm>
#include <utility>

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// Queries that take the policy service at least this long go to some of the
// nodes only, so that short queries do not wait behind them.
constexpr std::chrono::microseconds kLongQueryServiceTime = 200ms;
// One node in this many, rounded up, takes only short queries. A
// single node takes all queries.
constexpr std::size_t kNodesPerShortQueryNode = 4;
// A node gets another query while the total service time of its outstanding
// ones is below this.
constexpr std::chrono::microseconds kMaxOutstandingServiceTime = 25ms;

} // namespace

AdviceDispatcher::AdviceDispatcher(AdviceDispatcherHooks aHooks)
  : mHooks(std::move(aHooks))
{
}

void
AdviceDispatcher::AddNode(const NodeId& aNode)
{
  mNodeLoads.try_emplace(aNode);
  Assign();
}

void
AdviceDispatcher::RemoveNode(const NodeId& aNode)
{
  const auto found = mNodeLoads.find(aNode);
  if (found == mNodeLoads.end()) {
    return;
  }
  for (auto& [id, query] : found->second.mQueries) {
    mWaiting.emplace(WaitingKey(query.mServiceTime, id), std::move(query));
  }
  mNodeLoads.erase(found);
  Assign();
}

void
AdviceDispatcher::Add(const jobs::AdviceQuery& aQuery)
{
  ++mLastId.mValue;
  mWaiting.emplace(WaitingKey(aQuery.mServiceTime, mLastId), aQuery);
  Assign();
}

std::optional<jobs::AdviceQuery>
AdviceDispatcher::OnAnswer(QueryId aId)
{
  for (auto& [name, load] : mNodeLoads) {
    const auto found = load.mQueries.find(aId);
    if (found == load.mQueries.end()) {
      continue;
    }
    jobs::AdviceQuery query = std::move(found->second);
    load.mServiceTime -= query.mServiceTime;
    load.mQueries.erase(found);
    Assign();
    return query;
  }
  return std::nullopt;
}

AdviceDispatcher::NodeLoad*
AdviceDispatcher::ChooseNode(std::chrono::microseconds aServiceTime,
                             NodeId& aName)
{
  // The first nodes by name take only short queries.
  const std::size_t shortQueryNodes =
    (mNodeLoads.size() + kNodesPerShortQueryNode - 1) / kNodesPerShortQueryNode;
  const std::size_t firstLongQueryNode =
    mNodeLoads.size() > 1 ? shortQueryNodes : 0;
  NodeLoad* best = nullptr;
  std::size_t place = 0;
  for (auto& [name, load] : mNodeLoads) {
    const bool takesLongQueries = place++ >= firstLongQueryNode;
    const bool allowed =
      aServiceTime < kLongQueryServiceTime || takesLongQueries;
    if (allowed && load.mServiceTime < kMaxOutstandingServiceTime &&
        (best == nullptr || load.mServiceTime < best->mServiceTime)) {
      best = &load;
      aName = name;
    }
  }
  return best;
}

void
AdviceDispatcher::Assign()
{
  while (!mWaiting.empty()) {
    const auto entry = mWaiting.begin();
    NodeId name;
    NodeLoad* load = ChooseNode(entry->first.first, name);
    if (load == nullptr) {
      // The other queries take the service longer, and a longer query is
      // allowed on no other nodes than a shorter one.
      return;
    }
    const QueryId id = entry->first.second;
    load->mServiceTime += entry->second.mServiceTime;
    const jobs::AdviceQuery& query =
      load->mQueries.emplace(id, std::move(entry->second)).first->second;
    mWaiting.erase(entry);
    mHooks.mSend(name, id, query);
  }
}

} // namespace oriolevane::cellnode
