// Action: send a command to a worker.
#pragma once

#include "protocol/types/workermessages.h"

namespace oriolevane::placement {

struct SendToWorker
{
  protocol::WorkerCommand mCommand;
};

} // namespace oriolevane::placement
