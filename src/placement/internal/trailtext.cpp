#include "placement/internal/trailtext.h"

#include <fmt/format.h>

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;

std::string_view
NameOf(TaskState aState)
{
  switch (aState) {
    case TaskState::Queued:
      return "queued";
    case TaskState::Starting:
      return "starting";
    case TaskState::Running:
      return "running";
    case TaskState::Succeeded:
      return "succeeded";
    case TaskState::Failed:
      return "failed";
    case TaskState::NotStarted:
      return "not_started";
    case TaskState::Unknown:
      return "unknown";
    case TaskState::Lost:
      return "lost";
  }
  return "invalid";
}

std::string_view
NameOf(TaskEndReason aReason)
{
  switch (aReason) {
    case TaskEndReason::None:
      return "none";
    case TaskEndReason::Completed:
      return "completed";
    case TaskEndReason::TaskFailed:
      return "task_failed";
    case TaskEndReason::Cancelled:
      return "cancelled";
    case TaskEndReason::NeverRunnable:
      return "never_runnable";
    case TaskEndReason::DeadlinePassed:
      return "deadline_passed";
    case TaskEndReason::HoldExpired:
      return "hold_expired";
    case TaskEndReason::QueueFull:
      return "queue_full";
    case TaskEndReason::WorkerRefused:
      return "worker_refused";
    case TaskEndReason::WorkerLost:
      return "worker_lost";
    case TaskEndReason::Preempted:
      return "preempted";
    case TaskEndReason::NotOwner:
      return "not_owner";
    case TaskEndReason::CapacityLimit:
      return "capacity_limit";
  }
  return "invalid";
}

std::string
DescribePlacement(const protocol::TaskKey& aKey, const WorkerId& aWorker)
{
  return fmt::format(
    "task={} attempt={} worker={}", aKey.mIndex, aKey.mAttempt, aWorker);
}

std::string
DescribeEnd(const protocol::TaskKey& aKey,
            TaskState aState,
            TaskEndReason aReason)
{
  return fmt::format("task={} attempt={} state={} reason={}",
                     aKey.mIndex,
                     aKey.mAttempt,
                     NameOf(aState),
                     NameOf(aReason));
}

} // namespace oriolevane::placement
