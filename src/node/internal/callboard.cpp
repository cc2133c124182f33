#include "node/internal/callboard.h"

#include <utility>

namespace oriolevane::node {

CallBoard::CallBoard(Incarnation aIncarnation)
  : mLast(aIncarnation.mValue << 32U)
{
}

std::uint64_t
CallBoard::Open()
{
  const std::lock_guard lock(mMutex);
  mCalls.emplace(++mLast, std::nullopt);
  return mLast;
}

std::optional<protocol::RequestStatus>
CallBoard::Wait(std::uint64_t aCall, std::chrono::milliseconds aTimeout)
{
  std::unique_lock lock(mMutex);
  mDelivered.wait_for(
    lock, aTimeout, [this, aCall] { return mCalls[aCall].has_value(); });
  std::optional<protocol::RequestStatus> status = std::move(mCalls[aCall]);
  mCalls.erase(aCall);
  return status;
}

void
CallBoard::Deliver(const protocol::CallerReply& aReply)
{
  {
    const std::lock_guard lock(mMutex);
    const auto found = mCalls.find(aReply.mCall);
    if (found == mCalls.end()) {
      return;
    }
    found->second = aReply.mStatus;
  }
  mDelivered.notify_all();
}

std::size_t
CallBoard::OpenCalls() const
{
  const std::lock_guard lock(mMutex);
  return mCalls.size();
}

} // namespace oriolevane::node
