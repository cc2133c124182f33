// Calls that were told "not run", so that a second copy of one is answered the
// same and never accepted after all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <tuple>

#include "coordination/types/callorigin.h"
#include "framework/types/timepoint.h"
#include "protocol/types/callermessages.h"

namespace oriolevane::node {

class RefusalMemory
{
public:
  // Refusals older than aKeepFor, or beyond aMost, are forgotten.
  RefusalMemory(std::chrono::milliseconds aKeepFor, std::size_t aMost);

  void Add(const coordination::CallOrigin& aOrigin,
           const protocol::CallerReply& aReply,
           TimePoint aNow);
  std::optional<protocol::CallerReply> Find(
    const coordination::CallOrigin& aOrigin,
    std::uint64_t aCall) const;

private:
  struct Key
  {
    coordination::CallOrigin mOrigin;
    std::uint64_t mCall = 0;

    bool operator<(const Key& aOther) const
    {
      return std::tie(mOrigin, mCall) < std::tie(aOther.mOrigin, aOther.mCall);
    }
  };
  struct Age
  {
    TimePoint mAdded;
    Key mKey;
  };

  std::chrono::milliseconds mKeepFor;
  std::size_t mMost;
  std::map<Key, protocol::CallerReply> mReplies;
  std::deque<Age> mAges;
};

} // namespace oriolevane::node
