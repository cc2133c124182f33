// Admission control of a shard: whether arriving tasks may enter the queue.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "placement/internal/taskqueue.h"

namespace oriolevane::placement {

// The reason for refusing tasks, with the detail for the caller.
struct Refusal
{
  protocol::TaskEndReason mReason = protocol::TaskEndReason::None;
  std::string mAnswer;
  // Set when a later try may succeed.
  std::optional<std::chrono::milliseconds> mRetryAfter;
};

// Checks limits, quotas, deadlines and the queue length.
class AdmissionCheck
{
public:
  AdmissionCheck(const PlacerContext& aContext, const TaskQueue& aQueue)
    : mContext(aContext)
    , mQueue(aQueue)
  {
  }

  // Returns nothing when aNewCount tasks of the batch may enter the queue.
  std::optional<Refusal> Check(const Batch& aBatch,
                               std::size_t aNewCount) const;
  // Checks only the tasks' resources, against the policy and the workers listed
  // now.
  std::optional<Refusal> CheckFeasibility(const Batch& aBatch,
                                          std::size_t aNewCount) const;
  // Estimates how long a task that arrives now will wait, from the queue length
  // and the mean rate of placements.
  std::chrono::milliseconds ExpectedWait() const;

private:
  // Describes which resource no worker has enough of.
  std::string DescribeShortage(const Resources& aNeed) const;
  // Returns how many such tasks the workers could run if they were empty. Stops
  // counting once aLimit is reached.
  std::size_t CountFeasibleTasks(const Resources& aNeed,
                                 std::size_t aLimit) const;

  const PlacerContext& mContext;
  const TaskQueue& mQueue;
};

} // namespace oriolevane::placement
