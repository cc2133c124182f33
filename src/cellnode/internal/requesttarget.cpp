#include "cellnode/internal/requesttarget.h"

#include <utility>

#include "cellnode/queuerouter.h"

namespace oriolevane::cellnode {

namespace {

// The query string is ignored.
std::string
LastSegment(const std::string& aPath)
{
  const std::string path = aPath.substr(0, aPath.find('?'));
  return path.substr(path.rfind('/') + 1);
}

} // namespace

RequestTarget
ResolveTarget(const jobs::CellScheduler& aScheduler,
              const CallerRequest& aRequest)
{
  const QueueMatch match =
    MatchQueue(aScheduler.Configuration(), aRequest.mHost, aRequest.mPath);
  const bool ofQueue =
    match.mQueue != nullptr && match.mRest.find('/') == std::string::npos;
  if (!ofQueue) {
    const jobs::JobId job(LastSegment(aRequest.mPath));
    std::optional<jobs::JobView> view = aScheduler.Find(job);
    if (view.has_value() || match.mQueue == nullptr) {
      return { .mJob = job, .mView = std::move(view) };
    }
  }
  const jobs::JobId job(match.mRest);
  return { .mQueue = match.mQueue, .mJob = job, .mView = aScheduler.Find(job) };
}

} // namespace oriolevane::cellnode
