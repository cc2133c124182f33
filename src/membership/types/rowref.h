// Names a request partition or a worker shard as something that a node owns.
#pragma once

#include <compare>
#include <cstdint>

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

  auto operator<=>(const RowRef&) const = default;
};

} // namespace oriolevane::membership
