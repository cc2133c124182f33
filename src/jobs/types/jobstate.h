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

// True when the state can no longer change.
constexpr bool
IsFinal(JobState aState)
{
  return aState == JobState::Completed || aState == JobState::Failed ||
         aState == JobState::Cancelled;
}

} // namespace oriolevane::jobs
