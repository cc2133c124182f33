#include "placement/internal/attempttable.h"

namespace oriolevane::placement {

AttemptIndex
AttemptTable::Find(const protocol::TaskKey& aKey) const
{
  const auto found = mByKey.find(aKey);
  return found == mByKey.end() ? kNoAttempt : found->second;
}

AttemptIndex
AttemptTable::Add(const protocol::TaskKey& aKey)
{
  AttemptIndex index = 0;
  if (mFree.empty()) {
    index = static_cast<AttemptIndex>(mSlots.size());
    mSlots.emplace_back();
    mUsed.push_back(true);
  } else {
    index = mFree.back();
    mFree.pop_back();
    mUsed[index] = true;
  }
  mSlots[index].mKey = aKey;
  mByKey.emplace(aKey, index);
  return index;
}

void
AttemptTable::Erase(AttemptIndex aIndex)
{
  Attempt& attempt = mSlots[aIndex];
  const std::uint32_t generation = attempt.mGeneration + 1;
  mByKey.erase(attempt.mKey);
  attempt = Attempt{};
  attempt.mGeneration = generation;
  mUsed[aIndex] = false;
  mFree.push_back(aIndex);
}

bool
AttemptTable::IsCurrent(AttemptIndex aIndex, std::uint32_t aGeneration) const
{
  return mUsed[aIndex] && mSlots[aIndex].mGeneration == aGeneration;
}

} // namespace oriolevane::placement
