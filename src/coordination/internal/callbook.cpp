#include "coordination/internal/callbook.h"

namespace oriolevane::coordination::internal {

std::uint32_t
CallBook::OriginNumber(const CallOrigin& aOrigin)
{
  const auto [entry, added] =
    mNumbers.try_emplace(aOrigin, static_cast<std::uint32_t>(mOrigins.size()));
  if (added) {
    mOrigins.push_back(aOrigin);
    mOpen.emplace_back();
  }
  return entry->second;
}

void
CallBook::Open(const Waiter& aWaiter, LiveRequest* aRequest)
{
  mOpen[aWaiter.mOrigin][aWaiter.mCall] = aRequest;
}

void
CallBook::Close(const Waiter& aWaiter)
{
  mOpen[aWaiter.mOrigin].erase(aWaiter.mCall);
}

LiveRequest*
CallBook::RequestOf(std::uint32_t aOrigin, std::uint64_t aCall) const
{
  const auto found = mOpen[aOrigin].find(aCall);
  return found == mOpen[aOrigin].end() ? nullptr : found->second;
}

} // namespace oriolevane::coordination::internal
