// A caller's call reached the coordinator.
#pragma once

#include "coordination/types/callorigin.h"
#include "protocol/types/callermessages.h"

namespace oriolevane::coordination {

// The call is replied to with ReplyToCaller to the same origin.
struct CallArrived
{
  CallOrigin mOrigin;
  protocol::CallerCall mCall;
};

} // namespace oriolevane::coordination
