// Keys of attempts that are over, so that a late or doubled message starts
// nothing.
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

struct Tombstone
{
  protocol::TaskState mState = protocol::TaskState::NotStarted;
  protocol::TaskEndReason mReason = protocol::TaskEndReason::None;
  // False once the coordinator has acknowledged the end.
  bool mAnswer = true;
};

// Holds hashes of the keys, bounded in number and time; the oldest go first.
class Tombstones
{
public:
  Tombstones(std::size_t aLimit, Duration aKeepFor)
    : mLimit(aLimit)
    , mKeepFor(aKeepFor)
  {
  }

  void Add(const protocol::TaskKey& aKey, Tombstone aStone, TimePoint aNow);
  std::optional<Tombstone> Find(const protocol::TaskKey& aKey) const;
  void DropOld(TimePoint aNow);

private:
  struct Aged
  {
    TimePoint mAddedAt;
    std::uint64_t mHash = 0;
  };

  static std::uint64_t HashOf(const protocol::TaskKey& aKey);
  void DropOldest();

  std::size_t mLimit;
  Duration mKeepFor;
  std::deque<Aged> mByAge;
  std::unordered_map<std::uint64_t, Tombstone> mStones;
};

} // namespace oriolevane::placement
