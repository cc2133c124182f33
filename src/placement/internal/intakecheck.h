// Decides at arrival whether tasks can ever be placed in this shard.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "placement/internal/taskqueue.h"

namespace oriolevane::placement {

// Why tasks cannot be taken.
struct Refusal
{
  protocol::TaskEndReason mReason = protocol::TaskEndReason::None;
  std::string mAnswer;
  std::optional<std::chrono::milliseconds> mRetryAfter;
};

class IntakeCheck
{
public:
  IntakeCheck(const PlacerContext& aContext, const TaskQueue& aQueue)
    : mContext(aContext)
    , mQueue(aQueue)
  {
  }

  // Nothing when aFresh tasks of the batch may wait in the queue.
  std::optional<Refusal> Check(const Batch& aBatch, std::size_t aFresh) const;
  // Only what concerns sizes, against the workers listed now.
  std::optional<Refusal> CheckSize(const Batch& aBatch,
                                   std::size_t aFresh) const;
  // How long a task that comes now is likely to wait.
  std::chrono::milliseconds ExpectedWait() const;

private:
  // Names the resource that no worker has enough of.
  std::string DescribeMisfit(const Resources& aNeed) const;
  // How many such tasks empty workers could hold, counted up to aEnough.
  std::size_t CountThatCouldFit(const Resources& aNeed,
                                std::size_t aEnough) const;

  const PlacerContext& mContext;
  const TaskQueue& mQueue;
};

} // namespace oriolevane::placement
