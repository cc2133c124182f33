// Tracks the calls that have not been replied to.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "coordination/internal/liverequest.h"
#include "coordination/types/callorigin.h"

namespace oriolevane::coordination::internal {

// Gives each origin a number, which keeps the Waiter struct small. Finds the
// request of a call in constant time when the caller disconnects.
class UnansweredCalls
{
public:
  // Returns the number of the origin and assigns one to a new origin.
  std::uint32_t OriginNumber(const CallOrigin& aOrigin);
  const CallOrigin& Origin(std::uint32_t aNumber) const
  {
    return mOrigins[aNumber];
  }
  void Open(const Waiter& aWaiter, LiveRequest* aRequest);
  void Close(const Waiter& aWaiter);
  // Returns the request of an open call, or null when the call is not open.
  LiveRequest* RequestOf(std::uint32_t aOrigin, std::uint64_t aCall) const;

private:
  std::vector<CallOrigin> mOrigins;
  std::map<CallOrigin, std::uint32_t> mOriginNumbers;
  // The requests of the open calls, by origin number and call.
  std::vector<std::unordered_map<std::uint64_t, LiveRequest*>> mOpenCalls;
};

} // namespace oriolevane::coordination::internal
