// Action: send a message to the coordinator of the partition in its route.
#pragma once

#include "protocol/types/placermessages.h"

namespace oriolevane::placement {

struct SendToCoordinator
{
  protocol::ToCoordinator mMessage;
};

} // namespace oriolevane::placement
