// Action: reply to one call.
#pragma once

#include "coordination/types/callorigin.h"
#include "protocol/types/callermessages.h"

namespace oriolevane::coordination {

// Each call that is not abandoned gets exactly one reply.
struct ReplyToCaller
{
  CallOrigin mOrigin;
  protocol::CallerReply mReply;
};

} // namespace oriolevane::coordination
