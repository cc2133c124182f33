// Values of the dispatcher of advice queries.
#pragma once

#include <cstddef>
#include <cstdint>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "jobs/types/orders.h"

namespace oriolevane::cellnode {

using QueryId = NumberId<struct QueryIdTag, std::uint64_t>;

// A query that waits for a node, or has been sent to one.
struct PendingQuery
{
  jobs::AdviceQuery mQuery;
  TimePoint mAddedAt;
  // Waiting queries are sent in the order of these times, but for those with a
  // bounded wait.
  TimePoint mDue;
  // When the node that it was sent to should have answered.
  TimePoint mExpiresAt;
};

// Queries that wait for a node.
struct AdviceBacklog
{
  std::size_t mQueries = 0;
  // The longest time for which one of them has waited.
  Duration mLongestWait{};
  // The time that the policy service needs to handle all of them.
  std::chrono::microseconds mServiceTime{ 0 };
};

} // namespace oriolevane::cellnode
