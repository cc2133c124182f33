// What the link to the workers tells its owner.
#pragma once

#include <functional>

#include <absl/status/status.h>

#include "framework/types/ids.h"
#include "protocol/types/workermessages.h"

namespace oriolevane::workers {

// Called on the link's own threads, several at a time; must not block.
struct WorkerLinkHooks
{
  std::function<void(protocol::WorkerReport)> mOnReport;
  // The exchange failed: DeadlineExceeded for a silent or slow worker,
  // Unavailable for a refused or lost connection, InvalidArgument for an answer
  // that could not be read, ResourceExhausted for one that is too long. Whether
  // the worker applied the command is not known.
  std::function<void(const WorkerId&, const absl::Status&)> mOnUnreachable;
};

} // namespace oriolevane::workers
