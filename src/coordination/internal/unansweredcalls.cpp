#include "coordination/internal/unansweredcalls.h"

namespace oriolevane::coordination::internal {

std::uint32_t
UnansweredCalls::OriginNumber(const CallOrigin& aOrigin)
{
  const auto [entry, added] = mOriginNumbers.try_emplace(
    aOrigin, static_cast<std::uint32_t>(mOrigins.size()));
  if (added) {
    mOrigins.push_back(aOrigin);
    mOpenCalls.emplace_back();
  }
  return entry->second;
}

void
UnansweredCalls::Open(const Waiter& aWaiter, LiveRequest* aRequest)
{
  mOpenCalls[aWaiter.mOrigin][aWaiter.mCall] = aRequest;
}

void
UnansweredCalls::Close(const Waiter& aWaiter)
{
  mOpenCalls[aWaiter.mOrigin].erase(aWaiter.mCall);
}

LiveRequest*
UnansweredCalls::RequestOf(std::uint32_t aOrigin, std::uint64_t aCall) const
{
  const auto found = mOpenCalls[aOrigin].find(aCall);
  return found == mOpenCalls[aOrigin].end() ? nullptr : found->second;
}

} // namespace oriolevane::coordination::internal
