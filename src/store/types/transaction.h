// A transaction of the platform's table: all of its mutations are applied when
// all of its conditions hold, otherwise none.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolevane::store {

// The row has this version; zero means that the row is absent.
struct RowCondition
{
  std::string mKey;
  std::uint64_t mVersion = 0;

  bool operator==(const RowCondition&) const = default;
};

// Puts the value, or deletes the row when there is none.
struct RowMutation
{
  std::string mKey;
  std::optional<std::string> mValue;

  bool operator==(const RowMutation&) const = default;
};

struct Transaction
{
  std::vector<RowCondition> mConditions;
  std::vector<RowMutation> mMutations;

  bool operator==(const Transaction&) const = default;
};

struct RowVersion
{
  std::string mKey;
  std::uint64_t mVersion = 0;

  bool operator==(const RowVersion&) const = default;
};

// The new version of each row that the transaction put.
struct CommitResult
{
  std::vector<RowVersion> mRows;

  // Zero when the transaction did not put the row.
  std::uint64_t VersionOf(std::string_view aKey) const
  {
    for (const RowVersion& row : mRows) {
      if (row.mKey == aKey) {
        return row.mVersion;
      }
    }
    return 0;
  }
};

} // namespace oriolevane::store
