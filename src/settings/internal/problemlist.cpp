#include "settings/problemlist.h"

#include <utility>

#include <fmt/format.h>

namespace oriolevane::settings {

ProblemList::ProblemList(LineIndex aLines)
  : mLines(std::move(aLines))
{
}

void
ProblemList::Add(std::string_view aPath, std::string aMessage)
{
  mProblems.push_back(
    { std::string(aPath), mLines.LineOf(aPath), std::move(aMessage) });
}

absl::Status
ProblemList::ToStatus() const
{
  if (mProblems.empty()) {
    return absl::OkStatus();
  }
  std::string text;
  for (const Problem& problem : mProblems) {
    text += fmt::format("{}line {}: {}: {}",
                        text.empty() ? "" : "\n",
                        problem.mLine,
                        problem.mPath,
                        problem.mMessage);
  }
  return absl::InvalidArgumentError(text);
}

} // namespace oriolevane::settings
