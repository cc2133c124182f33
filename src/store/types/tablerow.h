// A row of the platform's transactional table.
#pragma once

#include <cstdint>
#include <string>

namespace oriolevane::store {

// The version rises with each write of the row and is never reused; zero means
// that the row is absent.
struct TableRow
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mVersion = 0;

  bool Exists() const { return mVersion != 0; }
  bool operator==(const TableRow&) const = default;
};

} // namespace oriolevane::store
