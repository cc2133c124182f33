// Finds the line of each value in a JSON text with comments, so that a problem
// can be shown where it stands.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace oriolevane::settings {

// Built once from a text that has already been parsed without error.
class LineIndex
{
public:
  explicit LineIndex(std::string_view aText);

  // The line, counted from 1, of the value at a path such as "listen.callers"
  // or "teams[2]"; for a path that is absent, the line of the closest enclosing
  // value.
  std::size_t LineOf(std::string_view aPath) const;

private:
  std::map<std::string, std::size_t, std::less<>> mLines;
};

// The path of a key inside an object; keys with dots or brackets are quoted.
std::string
JoinPath(std::string_view aParent, std::string_view aKey);

} // namespace oriolevane::settings
