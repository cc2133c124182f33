// The reply to one call.
#pragma once

#include "coordination/types/callorigin.h"
#include "protocol/types/callermessages.h"

namespace oriolevane::coordination {

// Exactly one for each call that is not abandoned.
struct ReplyToCaller
{
  CallOrigin mOrigin;
  protocol::CallerReply mReply;
};

} // namespace oriolevane::coordination
