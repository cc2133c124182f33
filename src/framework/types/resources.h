// Resource amounts: the capacity of a worker or the demand of a task.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace oriolevane {

// A vector of resource amounts: processors in thousandths of a core, memory in
// MiB, accelerators and slots in whole units. Amounts are never negative.
struct Resources
{
  std::int64_t mMilliCores = 0;
  std::int64_t mMemoryMiB = 0;
  std::int64_t mAccelerators = 0;
  std::int64_t mSlots = 0;

  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
  friend Resources operator+(Resources aLeft, const Resources& aRight)
  {
    return aLeft += aRight;
  }
  friend Resources operator-(Resources aLeft, const Resources& aRight)
  {
    return aLeft -= aRight;
  }
  bool operator==(const Resources&) const = default;

  // True when each amount is at most the corresponding amount in aCapacity.
  bool FitsIn(const Resources& aCapacity) const;
  // True when no amount is below zero.
  bool IsNonNegative() const;
};

// The smaller of each two amounts.
constexpr Resources
Least(const Resources& aLeft, const Resources& aRight)
{
  return { .mMilliCores = std::min(aLeft.mMilliCores, aRight.mMilliCores),
           .mMemoryMiB = std::min(aLeft.mMemoryMiB, aRight.mMemoryMiB),
           .mAccelerators = std::min(aLeft.mAccelerators, aRight.mAccelerators),
           .mSlots = std::min(aLeft.mSlots, aRight.mSlots) };
}

// The larger of each two amounts.
constexpr Resources
Most(const Resources& aLeft, const Resources& aRight)
{
  return { .mMilliCores = std::max(aLeft.mMilliCores, aRight.mMilliCores),
           .mMemoryMiB = std::max(aLeft.mMemoryMiB, aRight.mMemoryMiB),
           .mAccelerators = std::max(aLeft.mAccelerators, aRight.mAccelerators),
           .mSlots = std::max(aLeft.mSlots, aRight.mSlots) };
}

// The amounts of aCount tasks.
constexpr Resources
Times(const Resources& aTask, std::int64_t aCount)
{
  return { .mMilliCores = aTask.mMilliCores * aCount,
           .mMemoryMiB = aTask.mMemoryMiB * aCount,
           .mAccelerators = aTask.mAccelerators * aCount,
           .mSlots = aTask.mSlots * aCount };
}

} // namespace oriolevane
