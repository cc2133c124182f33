// A caller went away before its reply.
#pragma once

#include <cstdint>

#include "coordination/types/callorigin.h"

namespace oriolevane::coordination {

// The caller's connection is gone: no reply is sent for this call. The request
// itself goes on; its outcome can be asked for later.
struct CallAbandoned
{
  CallOrigin mOrigin;
  std::uint64_t mCall = 0;
};

} // namespace oriolevane::coordination
