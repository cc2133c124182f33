// Finds the line of each value in a JSON text with comments, so that a problem
// can be shown where it stands.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace oriolevane::settings {

// Over a text that has already been parsed without error and outlives this.
// Each question walks the text once, so that a text from outside costs no
// memory beyond its own, however long its keys are.
class LineIndex
{
public:
  explicit LineIndex(std::string_view aText);

  // The line, counted from 1, of the value at a path such as "listen.callers"
  // or "teams[2]"; for a path that is absent, the line of the closest enclosing
  // value.
  std::size_t LineOf(std::string_view aPath) const;

private:
  std::string_view mText;
};

// The path of a key inside an object; keys with dots or brackets are quoted.
std::string
JoinPath(std::string_view aParent, std::string_view aKey);

} // namespace oriolevane::settings
