#include "cli/internal/texttable.h"

#include <algorithm>

namespace oriolevane::cli {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

// Bytes that begin a character in UTF-8.
std::size_t
Width(const std::string& aText)
{
  return static_cast<std::size_t>(
    std::count_if(aText.begin(), aText.end(), [](char aByte) {
      return (static_cast<unsigned char>(aByte) & 0xc0U) != 0x80U;
    }));
}

} // namespace

std::string
Printable(std::string aText)
{
  std::replace_if(
    aText.begin(),
    aText.end(),
    [](char aByte) {
      const auto byte = static_cast<unsigned char>(aByte);
      return byte < kFirstPrintable || byte == kDelete;
    },
    '?');
  return aText;
}

TextTable::TextTable(std::vector<std::string> aHeads)
{
  mRows.push_back(std::move(aHeads));
}

void
TextTable::AddRow(std::vector<std::string> aCells)
{
  aCells.resize(mRows.front().size());
  for (std::string& cell : aCells) {
    cell = Printable(std::move(cell));
  }
  mRows.push_back(std::move(aCells));
}

void
TextTable::Print(std::ostream& aOut) const
{
  std::vector<std::size_t> widths(mRows.front().size());
  for (const auto& row : mRows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], Width(row[column]));
    }
  }
  for (const auto& row : mRows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      line.append(widths[column] - Width(row[column]) + 2, ' ');
    }
    aOut << line.substr(0, line.find_last_not_of(' ') + 1) << '\n';
  }
}

} // namespace oriolevane::cli
