#include "node/refusalmemory.h"

namespace oriolevane::node {

RefusalMemory::RefusalMemory(std::chrono::milliseconds aKeepFor,
                             std::size_t aMost)
  : mKeepFor(aKeepFor)
  , mMost(aMost)
{
}

void
RefusalMemory::Add(const coordination::CallOrigin& aOrigin,
                   const protocol::CallerReply& aReply,
                   TimePoint aNow)
{
  while (!mAges.empty() &&
         (mAges.size() >= mMost || aNow - mAges.front().mAdded > mKeepFor)) {
    mReplies.erase(mAges.front().mKey);
    mAges.pop_front();
  }
  const Key key{ aOrigin, aReply.mCall };
  if (mReplies.emplace(key, aReply).second) {
    mAges.push_back({ aNow, key });
  }
}

std::optional<protocol::CallerReply>
RefusalMemory::Find(const coordination::CallOrigin& aOrigin,
                    std::uint64_t aCall) const
{
  const auto found = mReplies.find({ aOrigin, aCall });
  if (found == mReplies.end()) {
    return std::nullopt;
  }
  return found->second;
}

} // namespace oriolevane::node
