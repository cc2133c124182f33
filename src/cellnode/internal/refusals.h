// Answers to new jobs that the owner cannot take at the moment, with the time
// after which their callers should return.
#pragma once

#include "cellnode/types/caller.h"
#include "jobs/types/taskkey.h"

namespace oriolevane::cellnode {

// The shard is being handed over.
CallerAnswer
HandoverAnswer();
// The store does not answer, or not in time.
CallerAnswer
StoreUnavailableAnswer();
// The event loop has more work than the host can do.
CallerAnswer
OverloadedAnswer(const jobs::JobId& aId);
// The open jobs take all that they may take of the host.
CallerAnswer
FullHostAnswer(const jobs::JobId& aId);

} // namespace oriolevane::cellnode
