// Event: a command could not be exchanged with a worker.
#pragma once

#include "framework/types/ids.h"

namespace oriolevane::placement {

// The worker may have received the command nevertheless.
struct WorkerUnreachable
{
  WorkerId mWorker;
};

} // namespace oriolevane::placement
