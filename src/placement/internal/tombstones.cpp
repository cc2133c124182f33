#include "placement/internal/tombstones.h"

#include "framework/stablehash.h"

namespace oriolevane::placement {

void
Tombstones::Add(const protocol::TaskKey& aKey,
                Tombstone aTombstone,
                TimePoint aNow)
{
  const std::uint64_t hash = HashOf(aKey);
  const auto [place, isNew] = mTombstonesByHash.try_emplace(hash, aTombstone);
  if (!isNew) {
    place->second = aTombstone;
    return;
  }
  mInsertionOrder.push_back({ .mAddedAt = aNow, .mHash = hash });
  if (mInsertionOrder.size() > mLimit) {
    RemoveOldest();
  }
}

std::optional<Tombstone>
Tombstones::Find(const protocol::TaskKey& aKey) const
{
  const auto found = mTombstonesByHash.find(HashOf(aKey));
  if (found == mTombstonesByHash.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
Tombstones::RemoveExpired(TimePoint aNow)
{
  while (!mInsertionOrder.empty() &&
         mInsertionOrder.front().mAddedAt + mRetention < aNow) {
    RemoveOldest();
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
Tombstones::RemoveOldest()
{
  mTombstonesByHash.erase(mInsertionOrder.front().mHash);
  mInsertionOrder.pop_front();
}

} // namespace oriolevane::placement
