// Strong types for the identifiers that cross module borders, so that a worker
// is never passed where a node is expected.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include <fmt/format.h>

namespace oriolevane {

// An identifier made of text. Ordered and hashable; the tag keeps kinds apart.
template<typename Tag>
struct TextId
{
  std::string mValue;

  TextId() = default;
  explicit TextId(std::string aValue)
    : mValue(std::move(aValue))
  {
  }
  bool Empty() const { return mValue.empty(); }
  auto operator<=>(const TextId&) const = default;
};

// An identifier made of a number, for dense index spaces and counters.
template<typename Tag, typename Number>
struct NumberId
{
  Number mValue = 0;

  NumberId() = default;
  explicit constexpr NumberId(Number aValue)
    : mValue(aValue)
  {
  }
  auto operator<=>(const NumberId&) const = default;
};

using RequestId = TextId<struct RequestIdTag>;
using WorkerId = TextId<struct WorkerIdTag>;
using NodeId = TextId<struct NodeIdTag>;
using TeamId = TextId<struct TeamIdTag>;
using WorkloadId = TextId<struct WorkloadIdTag>;
using ZoneId = TextId<struct ZoneIdTag>;
using RackId = TextId<struct RackIdTag>;

// A worker shard: a set of racks placed by one placer.
using ShardId = NumberId<struct ShardIdTag, std::uint32_t>;
// A request partition: a slice of the request ids recorded by one coordinator.
using PartitionId = NumberId<struct PartitionIdTag, std::uint32_t>;
// Ownership term of a shard or partition; a higher epoch fences all lower ones.
using Epoch = NumberId<struct EpochTag, std::uint64_t>;
// Changes with each start of a process, so that a restarted node is not taken
// for its predecessor.
using Incarnation = NumberId<struct IncarnationTag, std::uint64_t>;
// Number of a configuration version.
using ConfigurationVersion =
  NumberId<struct ConfigurationVersionTag, std::uint64_t>;

} // namespace oriolevane

template<typename Tag>
struct std::hash<oriolevane::TextId<Tag>>
{
  std::size_t operator()(const oriolevane::TextId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.mValue);
  }
};

template<typename Tag, typename Number>
struct std::hash<oriolevane::NumberId<Tag, Number>>
{
  std::size_t operator()(
    const oriolevane::NumberId<Tag, Number>& aId) const noexcept
  {
    return std::hash<Number>{}(aId.mValue);
  }
};

template<typename Tag>
struct fmt::formatter<oriolevane::TextId<Tag>>
  : fmt::formatter<std::string_view>
{
  template<typename Context>
  auto format(const oriolevane::TextId<Tag>& aId, Context& aContext) const
  {
    return fmt::formatter<std::string_view>::format(aId.mValue, aContext);
  }
};

template<typename Tag, typename Number>
struct fmt::formatter<oriolevane::NumberId<Tag, Number>>
  : fmt::formatter<Number>
{
  template<typename Context>
  auto format(const oriolevane::NumberId<Tag, Number>& aId,
              Context& aContext) const
  {
    return fmt::formatter<Number>::format(aId.mValue, aContext);
  }
};
