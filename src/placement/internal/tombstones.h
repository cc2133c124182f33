// Remembers the keys of ended attempts, so that a late or duplicate message
// does not start them again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "framework/types/timepoint.h"
#include "protocol/types/taskkey.h"
#include "protocol/types/taskstate.h"

namespace oriolevane::placement {

// How an attempt ended.
struct Tombstone
{
  protocol::TaskState mState = protocol::TaskState::NotStarted;
  protocol::TaskEndReason mReason = protocol::TaskEndReason::None;
  // True when messages about the attempt are answered with this state; false
  // when the coordinator had acknowledged the end.
  bool mReplyToMessages = true;
};

// Stores hashes of the keys. The number of entries and their age are limited;
// the oldest are removed first.
class Tombstones
{
public:
  Tombstones(std::size_t aLimit, Duration aRetention)
    : mLimit(aLimit)
    , mRetention(aRetention)
  {
  }

  void Add(const protocol::TaskKey& aKey, Tombstone aTombstone, TimePoint aNow);
  std::optional<Tombstone> Find(const protocol::TaskKey& aKey) const;
  void RemoveExpired(TimePoint aNow);

private:
  struct Entry
  {
    TimePoint mAddedAt;
    std::uint64_t mHash = 0;
  };

  static std::uint64_t HashOf(const protocol::TaskKey& aKey);
  void RemoveOldest();

  std::size_t mLimit;
  Duration mRetention;
  std::deque<Entry> mInsertionOrder;
  std::unordered_map<std::uint64_t, Tombstone> mTombstonesByHash;
};

} // namespace oriolevane::placement
