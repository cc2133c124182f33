// Identifiers of jobs and of their steps, tasks and runs.
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
using oriolevane::RunNumber;
// Number of a change to the records. Changes are written to the store in this
// order.
using RecordPosition = NumberId<struct RecordPositionTag, std::uint64_t>;

// Identifies a step of one occurrence of a job. A job that is not repeated has
// only occurrence 0.
struct StepKey
{
  JobId mJob;
  int mOccurrence = 0;
  int mStep = 0;

  auto operator<=>(const StepKey&) const = default;
  // Returns "JOB.OCCURRENCE.STEP".
  std::string ToText() const;
};

// Identifies a task of a step.
struct TaskKey
{
  StepKey mStep;
  int mIndex = 0;

  auto operator<=>(const TaskKey&) const = default;
  // Returns "JOB.OCCURRENCE.STEP.INDEX".
  std::string ToText() const;
};

// Parses the format of TaskKey::ToText(). Returns nothing when the text does
// not have this format.
std::optional<TaskKey>
ParseTaskKey(std::string_view aText);

} // namespace oriolevane::jobs
