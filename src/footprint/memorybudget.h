// Bounds the memory that the open jobs of a shard take together. Deterministic.
#pragma once

#include <cstdint>
#include <optional>

namespace oriolevane::footprint {

// Sums up estimated footprints, in bytes.
class MemoryBudget
{
public:
  // Without a limit there is always room.
  explicit MemoryBudget(std::optional<std::int64_t> aLimit)
    : mLimit(aLimit)
  {
  }

  // True when a new job does not take the sum over the limit.
  bool HasRoomFor(std::int64_t aFootprint) const
  {
    return !mLimit.has_value() || mUsed + aFootprint <= *mLimit;
  }
  // Jobs that are accepted already are added whether or not there is room.
  void Add(std::int64_t aFootprint) { mUsed += aFootprint; }
  void Remove(std::int64_t aFootprint) { mUsed -= aFootprint; }
  std::int64_t Used() const { return mUsed; }
  std::optional<std::int64_t> Limit() const { return mLimit; }

private:
  std::optional<std::int64_t> mLimit;
  std::int64_t mUsed = 0;
};

} // namespace oriolevane::footprint
