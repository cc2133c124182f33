// Event: a caller disconnected before its call was replied to.
#pragma once

#include <cstdint>

#include "coordination/types/callorigin.h"

namespace oriolevane::coordination {

// No reply is sent for this call. The request itself continues, and its outcome
// can be queried later.
struct CallAbandoned
{
  CallOrigin mOrigin;
  std::uint64_t mCall = 0;
};

} // namespace oriolevane::coordination
