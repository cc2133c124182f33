// All that is wrong with one settings text, gathered so that it is reported at
// once.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "settings/lineindex.h"

namespace oriolevane::settings {

struct Problem
{
  std::string mPath;
  // Counted from 1.
  std::size_t mLine = 1;
  std::string mMessage;
};

constexpr std::size_t kMostProblems = 20;

class ProblemList
{
public:
  explicit ProblemList(LineIndex aLines);

  void Add(std::string_view aPath, std::string aMessage);
  bool Empty() const { return mProblems.empty(); }
  const std::vector<Problem>& Problems() const { return mProblems; }
  // Long paths are cut, and beyond kMostProblems the others are only counted.
  // OK when empty, else InvalidArgument with one line a problem: "line 12:
  // listen.callers: must be IP:PORT".
  absl::Status ToStatus() const;

private:
  LineIndex mLines;
  std::vector<Problem> mProblems;
  std::size_t mUnlisted = 0;
};

} // namespace oriolevane::settings
