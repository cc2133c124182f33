// Registry entries and reports of workers.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/resources.h"
#include "jobs/types/taskkey.h"

namespace oriolevane::jobs {

// A time on a worker's own steady clock.
using WorkerTime = std::chrono::milliseconds;
// Distinguishes the successive processes of a worker under one id. It is the
// Unix time at which the process started.
using WorkerIncarnation = NumberId<struct WorkerIncarnationTag, std::int64_t>;

// A worker's entry in the registry.
struct WorkerEntry
{
  WorkerId mId;
  WorkerIncarnation mIncarnation;
  PoolName mPool;
  // "IP:PORT".
  std::string mAddress;
  ZoneId mZone;
  Resources mCapacity;
  std::string mKind;
  RackId mRack;
  // A draining worker takes no new tasks.
  bool mDraining = false;
  // For a draining worker: the minimum time until it leaves.
  std::optional<std::chrono::milliseconds> mLeavesIn;
};

// How a run ended.
enum class EndKind
{
  Succeeded,
  // The task failed, or the worker did.
  Failed,
  Stopped,
  // The lease of the worker's tasks expired.
  LeaseExpired,
  // Stopped because another member of the gang ended.
  GangBroken,
  // Stopped because the other members of the gang were not started in time.
  GangIncomplete
};

// A run in progress on a worker.
struct RunningTask
{
  TaskKey mTask;
  RunNumber mRun;
  // Latest checkpoint; empty for none.
  std::string mCheckpoint;
  // Progress in percent.
  int mPercent = 0;
};

// A run that has ended on a worker.
struct EndedTask
{
  // Increases with each ended run of one incarnation of a worker; 0 for an end
  // that the scheduler concluded itself, without a report.
  std::uint64_t mSerial = 0;
  TaskKey mTask;
  RunNumber mRun;
  EndKind mKind = EndKind::Stopped;
  // Latest checkpoint; empty for none.
  std::string mCheckpoint;
};

// A worker's report on its runs.
struct WorkerReport
{
  // The worker's clock at the time of the report.
  WorkerTime mNow{ 0 };
  std::optional<WorkerIncarnation> mIncarnation;
  std::vector<RunningTask> mRunning;
  // Ended runs that have not been acknowledged yet, oldest first.
  std::vector<EndedTask> mEnded;
  // The worker has more unacknowledged ended runs than the report contains.
  bool mEndsTruncated = false;
};

} // namespace oriolevane::jobs
