#include "settings/problemlist.h"

#include <utility>

#include <fmt/format.h>

namespace oriolevane::settings {

namespace {

constexpr std::size_t kMaxShownPathBytes = 200;

} // namespace

ProblemList::ProblemList(LineIndex aLines)
  : mLines(aLines)
{
}

void
ProblemList::Add(std::string_view aPath, std::string aMessage)
{
  if (mProblems.size() >= kMostProblems) {
    ++mUnlisted;
    return;
  }
  mProblems.push_back({ std::string(aPath.substr(0, kMaxShownPathBytes)),
                        mLines.LineOf(aPath),
                        std::move(aMessage) });
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
  if (mUnlisted > 0) {
    text += fmt::format("\nand {} more", mUnlisted);
  }
  return absl::InvalidArgumentError(text);
}

} // namespace oriolevane::settings
