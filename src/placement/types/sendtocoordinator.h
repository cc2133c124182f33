// Action: send a message to a coordinator.
#pragma once

#include "protocol/types/placermessages.h"

namespace oriolevane::placement {

// The message goes to the coordinator of the partition in its route.
struct SendToCoordinator
{
  protocol::ToCoordinator mMessage;
};

} // namespace oriolevane::placement
