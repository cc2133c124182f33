// How far a job is, as callers see it.
#pragma once

#include <string_view>

namespace oriolevane::jobs {

enum class JobState
{
  // No task has started yet.
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled
};

std::string_view
ToText(JobState aState);

constexpr bool
IsFinal(JobState aState)
{
  return aState == JobState::Completed || aState == JobState::Failed ||
         aState == JobState::Cancelled;
}

} // namespace oriolevane::jobs
