// All attempts that a placer knows, by dense index and by key.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

#include "placement/internal/attempt.h"

namespace oriolevane::placement {

// References stay valid until the attempt is erased.
class AttemptTable
{
public:
  // kNoAttempt when absent.
  AttemptIndex Find(const protocol::TaskKey& aKey) const;
  // The key must be absent.
  AttemptIndex Add(const protocol::TaskKey& aKey);
  void Erase(AttemptIndex aIndex);
  Attempt& At(AttemptIndex aIndex) { return mSlots[aIndex]; }
  const Attempt& At(AttemptIndex aIndex) const { return mSlots[aIndex]; }
  // True when the slot still holds the attempt that had this generation.
  bool IsCurrent(AttemptIndex aIndex, std::uint32_t aGeneration) const;
  std::size_t Size() const { return mByKey.size(); }

  // Visits all attempts in the order of their slots.
  template<typename Visitor>
  void ForEach(const Visitor& aVisitor) const
  {
    for (AttemptIndex index = 0; index < mSlots.size(); ++index) {
      if (mUsed[index]) {
        aVisitor(index, mSlots[index]);
      }
    }
  }

private:
  std::deque<Attempt> mSlots;
  std::vector<bool> mUsed;
  std::vector<AttemptIndex> mFree;
  std::unordered_map<protocol::TaskKey, AttemptIndex> mByKey;
};

} // namespace oriolevane::placement
