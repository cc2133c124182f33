// Event: an exchange with a worker failed.
#pragma once

#include "framework/types/ids.h"

namespace oriolevane::placement {

// The command may or may not have reached the worker.
struct WorkerUnreachable
{
  WorkerId mWorker;
};

} // namespace oriolevane::placement
