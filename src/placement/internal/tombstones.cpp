#include "placement/internal/tombstones.h"

#include "framework/stablehash.h"

namespace oriolevane::placement {

void
Tombstones::Add(const protocol::TaskKey& aKey, Tombstone aStone, TimePoint aNow)
{
  const std::uint64_t hash = HashOf(aKey);
  const auto [place, isNew] = mStones.try_emplace(hash, aStone);
  if (!isNew) {
    place->second = aStone;
    return;
  }
  mByAge.push_back({ .mAddedAt = aNow, .mHash = hash });
  if (mByAge.size() > mLimit) {
    DropOldest();
  }
}

std::optional<Tombstone>
Tombstones::Find(const protocol::TaskKey& aKey) const
{
  const auto found = mStones.find(HashOf(aKey));
  if (found == mStones.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
Tombstones::DropOld(TimePoint aNow)
{
  while (!mByAge.empty() && mByAge.front().mAddedAt + mKeepFor < aNow) {
    DropOldest();
  }
}

std::uint64_t
Tombstones::HashOf(const protocol::TaskKey& aKey)
{
  const std::uint64_t numbers =
    (static_cast<std::uint64_t>(aKey.mIndex) << 32U) | aKey.mAttempt;
  return StableHash(aKey.mRequest.mValue, numbers);
}

void
Tombstones::DropOldest()
{
  mStones.erase(mByAge.front().mHash);
  mByAge.pop_front();
}

} // namespace oriolevane::placement
