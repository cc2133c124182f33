// What a placer knows of one attempt, and why an attempt ended.
#pragma once

#include <cstdint>

namespace oriolevane::protocol {

enum class TaskState : std::uint8_t
{
  // Taken by the placer, not sent to any worker.
  Queued,
  // Sent to a worker whose word is still out.
  Starting,
  // The worker said that it runs.
  Running,
  // Final: ran and succeeded; the answer is whole.
  Succeeded,
  // Final: ran and failed by itself; the answer holds what the task said.
  Failed,
  // Final: surely never started.
  NotStarted,
  // Not final: the worker is silent; it may still run.
  Unknown,
  // Final: surely over, but whether and how far it ran is not known.
  Lost
};

enum class TaskEndReason : std::uint8_t
{
  None,
  Completed,
  TaskFailed,
  Cancelled,
  // No host of the shard could ever hold it.
  NeverRunnable,
  DeadlinePassed,
  HoldExpired,
  QueueFull,
  WorkerRefused,
  WorkerLost,
  Preempted,
  // The placer that the message was for is not the owner, or is still
  // recovering.
  NotOwner,
  CapacityLimit
};

// True when no later update of the same attempt can differ.
constexpr bool
IsFinal(TaskState aState)
{
  return aState == TaskState::Succeeded || aState == TaskState::Failed ||
         aState == TaskState::NotStarted || aState == TaskState::Lost;
}

} // namespace oriolevane::protocol
