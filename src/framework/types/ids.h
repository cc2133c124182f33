// Strong types for the identifiers that cross module boundaries. They prevent
// passing, for example, a worker id where a node id is expected.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include <fmt/format.h>

namespace oriolevane {

// A textual identifier. It is ordered and hashable, and the tag makes each kind
// of identifier a distinct type.
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

// A numeric identifier for dense index spaces and counters.
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

// Identifies a worker shard: a set of racks on whose workers one placer places
// tasks.
using ShardId = NumberId<struct ShardIdTag, std::uint32_t>;
// Identifies a request partition: a subset of the request ids whose requests
// one coordinator records.
using PartitionId = NumberId<struct PartitionIdTag, std::uint32_t>;
// Ownership term of a shard or partition. A higher epoch fences off all lower
// ones.
using Epoch = NumberId<struct EpochTag, std::uint64_t>;
// Identifies one start of a process. It distinguishes a restarted node from the
// process that ran under the same id before.
using Incarnation = NumberId<struct IncarnationTag, std::uint64_t>;
// Number of a run. It increases with each start of a task; the members of a
// gang share it.
using RunNumber = NumberId<struct RunNumberTag, std::uint64_t>;
// Numbers the versions of the configuration.
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
