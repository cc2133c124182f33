// Names of jobs and of the tasks inside them.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "framework/types/ids.h"

namespace oriolevane::jobs {

// Chosen by the caller; 16 hexadecimal digits.
using JobId = TextId<struct JobIdTag>;
// Name of a queue in the configuration.
using QueueName = TextId<struct QueueNameTag>;
// Name of a pool of workers in the configuration.
using PoolName = TextId<struct PoolNameTag>;
// Rises with each start of a task; the members of a gang share it.
using RunNumber = NumberId<struct RunNumberTag, std::uint64_t>;
// Number of a change of the job table, in the order of their recording.
using RecordPosition = NumberId<struct RecordPositionTag, std::uint64_t>;

// A step of one occurrence of a job. Occurrence 0 is the only one of a job that
// is not repeated.
struct StepKey
{
  JobId mJob;
  int mOccurrence = 0;
  int mStep = 0;

  auto operator<=>(const StepKey&) const = default;
  // "JOB.OCCURRENCE.STEP".
  std::string ToText() const;
};

struct TaskKey
{
  StepKey mStep;
  int mIndex = 0;

  auto operator<=>(const TaskKey&) const = default;
  // "JOB.OCCURRENCE.STEP.INDEX".
  std::string ToText() const;
};

// Nothing when the text is not of the form that ToText() gives.
std::optional<TaskKey>
ParseTaskKey(std::string_view aText);

} // namespace oriolevane::jobs
