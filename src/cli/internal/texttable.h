// Columns of text, aligned.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace oriolevane::cli {

// Control characters are shown as "?", so that no answer can steer a terminal.
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHeads);

  // Missing cells are empty, further ones are left out.
  void AddRow(std::vector<std::string> aCells);
  void Print(std::ostream& aOut) const;

private:
  std::vector<std::vector<std::string>> mRows;
};

// One line without control characters.
std::string
Printable(std::string aText);

} // namespace oriolevane::cli
