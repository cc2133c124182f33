// The calls whose replies are out.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "coordination/internal/liverequest.h"
#include "coordination/types/callorigin.h"

namespace oriolevane::coordination::internal {

// Numbers the origins, so that a waiter is small, and finds a call's request in
// constant time when its caller goes away.
class CallBook
{
public:
  std::uint32_t OriginNumber(const CallOrigin& aOrigin);
  const CallOrigin& Origin(std::uint32_t aNumber) const
  {
    return mOrigins[aNumber];
  }
  void Open(const Waiter& aWaiter, LiveRequest* aRequest);
  void Close(const Waiter& aWaiter);
  // The request of an open call; null when it is not open.
  LiveRequest* RequestOf(std::uint32_t aOrigin, std::uint64_t aCall) const;

private:
  std::vector<CallOrigin> mOrigins;
  std::map<CallOrigin, std::uint32_t> mNumbers;
  std::vector<std::unordered_map<std::uint64_t, LiveRequest*>> mOpen;
};

} // namespace oriolevane::coordination::internal
