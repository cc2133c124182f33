#include "jobs/internal/progressparts.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace oriolevane::jobs {

namespace {

// Of a task, a record holds some 20 to 400 bytes.
constexpr int kTasksPerPart = 100;

// Number of tasks of the steps before a step.
int
TasksBefore(const JobSpec& aSpec, int aStep)
{
  int tasks = 0;
  for (int step = 0; step < aStep; ++step) {
    tasks += aSpec.mSteps[step].mTaskCount;
  }
  return tasks;
}

std::optional<int>
ParseNumber(std::string_view aText)
{
  int number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [parsed, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || parsed != end || number < 0) {
    return std::nullopt;
  }
  return number;
}

} // namespace

RecordKey
ProgressPart::Key() const
{
  std::string name = fmt::format("{}.{}", mJob, mOccurrence);
  if (mPart > 0) {
    name += fmt::format(".{}", mPart);
  }
  return { .mKind = RecordKind::Progress, .mName = std::move(name) };
}

std::optional<ProgressPart>
ParseProgressPart(const std::string& aName)
{
  const std::size_t first = aName.find('.');
  if (first == std::string::npos) {
    return std::nullopt;
  }
  const std::string_view numbers = std::string_view(aName).substr(first + 1);
  const std::size_t second = numbers.find('.');
  const std::optional<int> occurrence = ParseNumber(numbers.substr(0, second));
  const std::optional<int> part = second == std::string_view::npos
                                    ? 0
                                    : ParseNumber(numbers.substr(second + 1));
  if (!occurrence.has_value() || !part.has_value()) {
    return std::nullopt;
  }
  return ProgressPart{ .mJob = JobId(aName.substr(0, first)),
                       .mOccurrence = *occurrence,
                       .mPart = *part };
}

int
ProgressPartCount(const JobSpec& aSpec)
{
  const auto tasks = static_cast<int>(aSpec.TaskCount());
  return (tasks + kTasksPerPart - 1) / kTasksPerPart;
}

int
ProgressPartOf(const JobSpec& aSpec, int aStep, int aIndex)
{
  return (TasksBefore(aSpec, aStep) + aIndex) / kTasksPerPart;
}

std::pair<int, int>
TasksOfStepInPart(const JobSpec& aSpec, int aStep, int aPart)
{
  const int before = TasksBefore(aSpec, aStep);
  const int count = aSpec.mSteps[aStep].mTaskCount;
  return { std::clamp(aPart * kTasksPerPart - before, 0, count),
           std::clamp((aPart + 1) * kTasksPerPart - before, 0, count) };
}

} // namespace oriolevane::jobs
