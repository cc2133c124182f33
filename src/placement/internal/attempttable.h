// All attempts that a placer knows, by slot index and by task key.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

#include "placement/internal/attempt.h"

namespace oriolevane::placement {

// Slots are reused after an attempt is erased. References stay valid until
// then.
class AttemptTable
{
public:
  // Returns kNoAttempt when there is no attempt with this key.
  AttemptIndex Find(const protocol::TaskKey& aKey) const;
  // Adds an attempt with a key that is not in the table.
  AttemptIndex Add(const protocol::TaskKey& aKey);
  void Erase(AttemptIndex aIndex);
  Attempt& At(AttemptIndex aIndex) { return mSlots[aIndex]; }
  const Attempt& At(AttemptIndex aIndex) const { return mSlots[aIndex]; }
  // True when the slot still holds the attempt that had this generation.
  bool IsCurrent(AttemptIndex aIndex, std::uint32_t aGeneration) const;
  std::size_t Size() const { return mByKey.size(); }

  // Calls aVisitor with the index and the attempt, in slot order.
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
