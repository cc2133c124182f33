// Which workers got more free capacity lately, so that a task that fitted
// nowhere is tried only where something changed.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "placement/internal/handles.h"

namespace oriolevane::placement {

class FreedWorkers
{
public:
  void Add(WorkerIndex aWorker)
  {
    mRing[mCount % kKept] = aWorker;
    ++mCount;
  }
  // Everything may have changed.
  void InvalidateAll() { mCount += kKept + 1; }
  // Rises with each change.
  std::uint64_t Count() const { return mCount; }
  // True when all changes after aSince are still kept.
  bool Reaches(std::uint64_t aSince) const { return mCount - aSince <= kKept; }

  // Visits the workers changed after aSince; ends when aVisit returns true.
  template<typename Visitor>
  bool AnySince(std::uint64_t aSince, const Visitor& aVisit) const
  {
    for (std::uint64_t number = aSince; number < mCount; ++number) {
      if (aVisit(mRing[number % kKept])) {
        return true;
      }
    }
    return false;
  }

private:
  static constexpr std::size_t kKept = 64;

  std::array<WorkerIndex, kKept> mRing{};
  std::uint64_t mCount = 0;
};

} // namespace oriolevane::placement
