// Finds out what a caller's request addresses. A path is resolved here only, so
// that all decisions about a request are made about the same job.
#pragma once

#include <optional>
#include <string>

#include "cellnode/types/caller.h"
#include "jobs/cellscheduler.h"

namespace oriolevane::cellnode {

// What a request addresses: a queue, or a job.
struct RequestTarget
{
  // The queue that the path selects. Null when there is none, and for a job
  // that is reached under the path of a queue that was removed.
  const jobs::QueuePolicy* mQueue = nullptr;
  // Empty for the queue itself. Not always a valid id.
  jobs::JobId mJob;
  // Set when the job is known.
  std::optional<jobs::JobView> mView;

  bool IsKnownJob() const { return mView.has_value(); }
  // True when anyone may make the request. A job under the path of a removed
  // queue is not more and not less accessible for the sake of another queue
  // with a prefix of that path.
  bool IsPublic() const
  {
    return mQueue != nullptr ? mQueue->mPublic
                             : IsKnownJob() && mView->mTeam.Empty();
  }
};

// A job outlives its queue, and callers still use the old path for it.
RequestTarget
ResolveTarget(const jobs::CellScheduler& aScheduler,
              const CallerRequest& aRequest);

} // namespace oriolevane::cellnode
