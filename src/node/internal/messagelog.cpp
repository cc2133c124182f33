#include "node/internal/messagelog.h"

#include "framework/log.h"
#include "framework/logfilter.h"
#include "gateway/statusjson.h"

namespace oriolevane::node {

void
LogMessage(const protocol::ToPlacer& aMessage)
{
  const auto* placed = std::get_if<protocol::PlaceTasks>(&aMessage);
  if (placed == nullptr || !IsLogged(LogLevel::Debug)) {
    return;
  }
  LogDebug("tasks_dispatched")
    .With("request", placed->mRequest)
    .With("attempt", placed->mAttempt)
    .With("tasks", placed->mIndexes.size())
    .With("shard", placed->mRoute.mShard)
    .With("epoch", placed->mRoute.mSenderEpoch);
}

void
LogMessage(const protocol::ToCoordinator& aMessage)
{
  const auto* update = std::get_if<protocol::TaskUpdate>(&aMessage);
  if (update == nullptr || !IsLogged(LogLevel::Debug)) {
    return;
  }
  LogDebug("task_update")
    .With("request", update->mTask.mRequest)
    .With("index", update->mTask.mIndex)
    .With("attempt", update->mTask.mAttempt)
    .With("state", gateway::TaskStateWord(update->mState))
    .With("worker", update->mWorker)
    .With("shard", update->mRoute.mShard)
    .With("epoch", update->mRoute.mSenderEpoch);
}

} // namespace oriolevane::node
