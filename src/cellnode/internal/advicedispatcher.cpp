#include "cellnode/advicedispatcher.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// One node in this many, rounded up, is kept for short queries. A single node
// takes all queries.
constexpr std::size_t kNodesPerShortQueryNode = 4;
// A node gets another query while the total service time of its outstanding
// ones is below this.
constexpr std::chrono::microseconds kMaxOutstandingServiceTime = 25ms;
// A query is due this many times its service time after it was added. Short
// queries go first, but only those that were added before a long one is due.
constexpr int kServiceTimesUntilDue = 4;
// A node reports a query that the policy service does not answer before this
// time has passed, unless the report is lost.
constexpr std::chrono::milliseconds kAnswerTimeout = 4500ms;
// A query that has waited for a node for longer than this is logged, and may go
// to a node that is kept for short ones.
constexpr std::chrono::milliseconds kMaxWait = 2000ms;
constexpr std::chrono::milliseconds kBacklogReportInterval = 1000ms;

bool
IsLong(const jobs::AdviceQuery& aQuery)
{
  return aQuery.mServiceTime >= jobs::kLongQueryServiceTime;
}

} // namespace

AdviceDispatcher::AdviceDispatcher(Epoch aEpoch, AdviceDispatcherHooks aHooks)
  : mHooks(std::move(aHooks))
  , mIds(RequestIds<QueryId>::OfTerm(aEpoch))
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
  // They may name other workers when they are sent again, so that an answer to
  // the first transmission would not fit.
  for (auto& [id, query] : found->second.mQueries) {
    AddWaiting(mIds.Next(), std::move(query));
  }
  mNodeLoads.erase(found);
  Assign();
}

void
AdviceDispatcher::Add(const jobs::AdviceQuery& aQuery)
{
  const TimePoint now = mHooks.mNow();
  const int untilDue = aQuery.mBoundedWait ? 0 : kServiceTimesUntilDue;
  AddWaiting(mIds.Next(),
             { .mQuery = aQuery,
               .mAddedAt = now,
               .mDue = now + untilDue * aQuery.mServiceTime,
               .mExpiresAt = {} });
  Assign();
}

void
AdviceDispatcher::AddWaiting(QueryId aId, PendingQuery aQuery)
{
  WaitingQueries& waiting =
    IsLong(aQuery.mQuery) ? mWaitingLong : mWaitingShort;
  waiting.Add(aId, std::move(aQuery));
}

std::optional<jobs::AdviceQuery>
AdviceDispatcher::OnAnswer(QueryId aId)
{
  for (auto& [name, load] : mNodeLoads) {
    const auto found = load.mQueries.find(aId);
    if (found == load.mQueries.end()) {
      continue;
    }
    jobs::AdviceQuery query = std::move(found->second.mQuery);
    load.mServiceTime -= query.mServiceTime;
    load.mQueries.erase(found);
    Assign();
    return query;
  }
  return std::nullopt;
}

void
AdviceDispatcher::Expire()
{
  const TimePoint now = mHooks.mNow();
  std::vector<jobs::AdviceQuery> expired;
  for (auto& [name, load] : mNodeLoads) {
    for (auto entry = load.mQueries.begin(); entry != load.mQueries.end();) {
      if (entry->second.mExpiresAt > now) {
        ++entry;
        continue;
      }
      LogInfo("advice_query_expired")
        .With("node", name)
        .With("step", entry->second.mQuery.mStep.ToText());
      load.mServiceTime -= entry->second.mQuery.mServiceTime;
      expired.push_back(std::move(entry->second.mQuery));
      entry = load.mQueries.erase(entry);
    }
  }
  for (const jobs::AdviceQuery& query : expired) {
    mHooks.mOnUnanswered(query);
  }
  Assign();
}

AdviceBacklog
AdviceDispatcher::Backlog() const
{
  AdviceBacklog backlog;
  const TimePoint now = mHooks.mNow();
  mWaitingShort.AddTo(backlog, now);
  mWaitingLong.AddTo(backlog, now);
  return backlog;
}

Duration
AdviceDispatcher::ExpectedWait() const
{
  const auto nodes =
    static_cast<std::int64_t>(std::max<std::size_t>(1, mNodeLoads.size()));
  return (mWaitingShort.ServiceTime() + mWaitingLong.ServiceTime()) / nodes;
}

jobs::QueryCounts
AdviceDispatcher::PendingQueries() const
{
  jobs::QueryCounts counts;
  mWaitingShort.AddTo(counts);
  mWaitingLong.AddTo(counts);
  for (const auto& [name, load] : mNodeLoads) {
    for (const auto& [id, query] : load.mQueries) {
      ++counts[query.mQuery.mStep];
    }
  }
  return counts;
}

void
AdviceDispatcher::ReportBacklog()
{
  const TimePoint now = mHooks.mNow();
  if (now < mNextBacklogReport) {
    return;
  }
  mNextBacklogReport = now + kBacklogReportInterval;
  const AdviceBacklog backlog = Backlog();
  if (backlog.mLongestWait <= kMaxWait) {
    return;
  }
  const auto millis = [](auto aTime) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  };
  LogWarning("advice_queries_wait")
    .With("queries", backlog.mQueries)
    .With("longest_wait_ms", millis(backlog.mLongestWait))
    .With("service_ms", millis(backlog.mServiceTime))
    .With("nodes", mNodeLoads.size());
}

AdviceDispatcher::NodeLoad*
AdviceDispatcher::ChooseNode(bool aLong, NodeId& aName)
{
  // The first nodes by name are kept for short queries.
  const std::size_t shortQueryNodes =
    (mNodeLoads.size() + kNodesPerShortQueryNode - 1) / kNodesPerShortQueryNode;
  const std::size_t firstLongQueryNode =
    mNodeLoads.size() > 1 ? shortQueryNodes : 0;
  // A node that has nothing to do helps out with a long query that has waited
  // for too long.
  const bool helpsOut = aLong && mWaitingShort.IsEmpty() &&
                        mHooks.mNow() - mWaitingLong.Next().mAddedAt > kMaxWait;
  NodeLoad* best = nullptr;
  std::size_t place = 0;
  for (auto& [name, load] : mNodeLoads) {
    const bool takesLongQueries = place++ >= firstLongQueryNode;
    const bool allowed =
      !aLong || takesLongQueries || (helpsOut && load.mQueries.empty());
    if (allowed && load.mServiceTime < kMaxOutstandingServiceTime &&
        (best == nullptr || load.mServiceTime < best->mServiceTime)) {
      best = &load;
      aName = name;
    }
  }
  return best;
}

bool
AdviceDispatcher::UpdateNext(WaitingQueries& aWaiting)
{
  const jobs::AdviceQuery query = aWaiting.Next().mQuery;
  std::optional<jobs::AdviceQuery> updated = mHooks.mUpdate(query);
  if (!updated.has_value()) {
    aWaiting.DropNext();
    mHooks.mOnUnanswered(query);
    return false;
  }
  if (IsLong(*updated) == IsLong(query)) {
    aWaiting.ReplaceNext(std::move(*updated));
    return true;
  }
  auto [id, pending] = aWaiting.DropNext();
  pending.mQuery = std::move(*updated);
  AddWaiting(id, std::move(pending));
  return false;
}

bool
AdviceDispatcher::AssignFirst(WaitingQueries& aWaiting)
{
  NodeId name;
  NodeLoad* load = nullptr;
  do {
    if (aWaiting.IsEmpty()) {
      return false;
    }
    load = ChooseNode(IsLong(aWaiting.Next().mQuery), name);
    if (load == nullptr) {
      return false;
    }
  } while (!UpdateNext(aWaiting));
  const auto [id, query] = aWaiting.TakeNext();
  PendingQuery& pending = load->mQueries.emplace(id, query).first->second;
  load->mServiceTime += pending.mQuery.mServiceTime;
  pending.mExpiresAt = mHooks.mNow() + kAnswerTimeout;
  mHooks.mSend(name, id, pending.mQuery);
  return true;
}

bool
AdviceDispatcher::AssignNext()
{
  const bool longFirst = !mWaitingLong.IsEmpty() &&
                         (mWaitingShort.IsEmpty() ||
                          mWaitingLong.Next().mDue < mWaitingShort.Next().mDue);
  if (longFirst) {
    return AssignFirst(mWaitingLong) || AssignFirst(mWaitingShort);
  }
  return AssignFirst(mWaitingShort) || AssignFirst(mWaitingLong);
}

void
AdviceDispatcher::Assign()
{
  while (AssignNext()) {
  }
}

} // namespace oriolevane::cellnode
