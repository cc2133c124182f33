// Decides whether new jobs whose steps need the approval of the policy service
// are accepted, from how long the queries that wait already will take.
#pragma once

#include <optional>

#include "cellnode/types/caller.h"
#include "framework/types/timepoint.h"

namespace oriolevane::cellnode {

// Returns the refusal of a new job of the queue, or nothing when it can be
// accepted. aQueryWait is how long a query that is added now is expected to
// wait. A job that was accepted beyond that would stand still, with workers
// free, long after its caller counts on it.
std::optional<CallerAnswer>
RefusalForAdvice(const jobs::QueuePolicy& aQueue,
                 const jobs::JobId& aId,
                 Duration aQueryWait);

} // namespace oriolevane::cellnode
