// Action: send a command to a worker.
#pragma once

#include "protocol/types/workermessages.h"

namespace oriolevane::placement {

// The command goes to the worker that it names.
struct SendToWorker
{
  protocol::WorkerCommand mCommand;
};

} // namespace oriolevane::placement
