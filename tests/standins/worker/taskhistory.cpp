#include "standins/worker/taskhistory.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace oriolevane::standins {

namespace {

nlohmann::json
ToJsonEvent(const TaskEvent& aEvent)
{
  const auto time = std::chrono::duration_cast<std::chrono::nanoseconds>(
    aEvent.mTime.time_since_epoch());
  return { { "event", TaskEventName(aEvent.mKind) },
           { "request", aEvent.mTask.mRequest.mValue },
           { "index", aEvent.mTask.mIndex },
           { "attempt", aEvent.mTask.mAttempt },
           { "worker", aEvent.mWorker.mValue },
           { "incarnation", aEvent.mIncarnation.mValue },
           { "shard", aEvent.mShard.mValue },
           { "epoch", aEvent.mEpoch.mValue },
           { "timeNs", time.count() },
           { "neverRepeat", aEvent.mNeverRepeat },
           { "overcommit", aEvent.mOvercommit },
           { "leaving", aEvent.mLeaving } };
}

} // namespace

TaskHistory::TaskHistory(std::size_t aCapacity)
  : mCapacity(aCapacity)
{
}

void
TaskHistory::Add(const TaskEvent& aEvent)
{
  const std::lock_guard lock(mMutex);
  mEvents.push_back(aEvent);
  if (mEvents.size() > mCapacity) {
    mEvents.pop_front();
    ++mDropped;
  }
}

std::string
TaskHistory::ToJson(std::uint64_t aFrom) const
{
  const std::lock_guard lock(mMutex);
  const std::uint64_t first = std::max(aFrom, mDropped);
  nlohmann::json events = nlohmann::json::array();
  for (std::uint64_t i = first; i < mDropped + mEvents.size(); ++i) {
    events.push_back(ToJsonEvent(mEvents[i - mDropped]));
  }
  return nlohmann::json{
    { "first", first }, { "dropped", mDropped }, { "events", std::move(events) }
  }.dump();
}

} // namespace oriolevane::standins
