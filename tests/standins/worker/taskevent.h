// What happened to a task on a worker stand-in, for a checker of histories.
#pragma once

#include <cstdint>
#include <string_view>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/taskkey.h"

namespace oriolevane::standins {

enum class TaskEventKind : std::uint8_t
{
  Started,
  Refused,
  Succeeded,
  Failed,
  Stopped,
  LeaseLapsed,
  // The worker restarted while the task ran.
  Lost
};

std::string_view
TaskEventName(TaskEventKind aKind);

struct TaskEvent
{
  TaskEventKind mKind = TaskEventKind::Started;
  protocol::TaskKey mTask;
  WorkerId mWorker;
  Incarnation mIncarnation;
  ShardId mShard;
  Epoch mEpoch;
  // When it took effect, on CLOCK_MONOTONIC.
  TimePoint mTime;
  bool mNeverRepeat = false;
  // With this start the worker's tasks took more than the worker has.
  bool mOvercommit = false;
  // The worker had said that it is leaving.
  bool mLeaving = false;
};

} // namespace oriolevane::standins
