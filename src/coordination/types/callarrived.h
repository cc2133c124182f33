// Event: a caller's call arrived at the coordinator.
#pragma once

#include "coordination/types/callorigin.h"
#include "protocol/types/callermessages.h"

namespace oriolevane::coordination {

// The coordinator replies with a ReplyToCaller to the same origin.
struct CallArrived
{
  CallOrigin mOrigin;
  protocol::CallerCall mCall;
};

} // namespace oriolevane::coordination
