#include "jobs/types/taskkey.h"

#include <array>
#include <charconv>

#include <fmt/format.h>

namespace oriolevane::jobs {

namespace {

bool
ReadNumber(std::string_view aText, int& aNumber)
{
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  return error == std::errc() && end == aText.data() + aText.size() &&
         aNumber >= 0;
}

} // namespace

std::string
StepKey::ToText() const
{
  return fmt::format("{}.{}.{}", mJob, mOccurrence, mStep);
}

std::string
TaskKey::ToText() const
{
  return fmt::format(
    "{}.{}.{}.{}", mStep.mJob, mStep.mOccurrence, mStep.mStep, mIndex);
}

std::optional<TaskKey>
ParseTaskKey(std::string_view aText)
{
  constexpr std::size_t kNumberCount = 3;
  std::array<int, kNumberCount> numbers{};
  for (std::size_t index = kNumberCount; index > 0; --index) {
    const std::size_t dot = aText.rfind('.');
    if (dot == std::string_view::npos ||
        !ReadNumber(aText.substr(dot + 1), numbers[index - 1])) {
      return std::nullopt;
    }
    aText = aText.substr(0, dot);
  }
  if (aText.empty()) {
    return std::nullopt;
  }
  return TaskKey{ .mStep = { .mJob = JobId(std::string(aText)),
                             .mOccurrence = numbers[0],
                             .mStep = numbers[1] },
                  .mIndex = numbers[2] };
}

} // namespace oriolevane::jobs
