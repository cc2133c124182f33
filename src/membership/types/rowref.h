// Names a request partition or a worker shard as something that a node owns.
#pragma once

#include <cstdint>
#include <tuple>

namespace oriolevane::membership {

enum class RowKind
{
  Partition,
  Shard
};

struct RowRef
{
  RowKind mKind = RowKind::Partition;
  // Number of the partition or shard, from 0.
  std::uint32_t mNumber = 0;

  bool operator==(const RowRef&) const = default;
  bool operator<(const RowRef& aOther) const
  {
    return std::tie(mKind, mNumber) < std::tie(aOther.mKind, aOther.mNumber);
  }
};

} // namespace oriolevane::membership
