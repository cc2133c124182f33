// The state of a job as callers see it.
#pragma once

#include <string_view>

namespace oriolevane::jobs {

// The last three states are final.
enum class JobState
{
  // No task has started yet.
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled
};

// Returns the name of the state in the caller interface.
std::string_view
ToText(JobState aState);

// Why a job has its final state.
enum class CloseReason
{
  // All tasks of all occurrences have succeeded.
  Completed,
  // A task, or a gang as a whole, has failed as often as its queue allows.
  FailedRuns,
  // Workers crashed under one of its tasks.
  WorkerCrashes,
  // A caller cancelled it.
  Cancelled,
  Count
};

// Returns the name of the reason in logs and metrics.
std::string_view
ToText(CloseReason aReason);

// The final state that callers are shown.
constexpr JobState
FinalStateOf(CloseReason aReason)
{
  switch (aReason) {
    case CloseReason::Completed:
      return JobState::Completed;
    case CloseReason::Cancelled:
      return JobState::Cancelled;
    default:
      return JobState::Failed;
  }
}

// True when the state can no longer change.
constexpr bool
IsFinal(JobState aState)
{
  return aState == JobState::Completed || aState == JobState::Failed ||
         aState == JobState::Cancelled;
}

} // namespace oriolevane::jobs
