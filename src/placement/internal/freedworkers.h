// Records which workers recently gained free capacity, so that a task that
// fitted nowhere is retried only on those.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "placement/internal/handles.h"

namespace oriolevane::placement {

// A ring of the latest changes. Each change has a number, counted from zero.
class FreedWorkers
{
public:
  // Records that the worker gained free capacity.
  void Add(WorkerIndex aWorker)
  {
    mRing[mChangeNumber % kCapacity] = aWorker;
    ++mChangeNumber;
  }
  // Makes HasAllSince() false for all earlier change numbers, because any
  // worker may have changed.
  void InvalidateAll() { mChangeNumber += kCapacity + 1; }
  // Returns the number of changes so far, which is the number of the next one.
  std::uint64_t ChangeNumber() const { return mChangeNumber; }
  // Returns true when all changes from number aSince on are still recorded.
  bool HasAllSince(std::uint64_t aSince) const
  {
    return mChangeNumber - aSince <= kCapacity;
  }

  // Visits the workers of the changes from number aSince on. Ends and returns
  // true when aVisit returns true.
  template<typename Visitor>
  bool AnySince(std::uint64_t aSince, const Visitor& aVisit) const
  {
    for (std::uint64_t number = aSince; number < mChangeNumber; ++number) {
      if (aVisit(mRing[number % kCapacity])) {
        return true;
      }
    }
    return false;
  }

private:
  static constexpr std::size_t kCapacity = 64;

  std::array<WorkerIndex, kCapacity> mRing{};
  std::uint64_t mChangeNumber = 0;
};

} // namespace oriolevane::placement
