// What workers say of themselves.
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

// A time of a worker's own steady clock.
using WorkerTime = std::chrono::milliseconds;
// Tells the lives of a worker under one id apart: Unix time of its start.
using WorkerLife = NumberId<struct WorkerLifeTag, std::int64_t>;

// A worker as it stands in the registry.
struct WorkerEntry
{
  WorkerId mId;
  WorkerLife mLife;
  PoolName mPool;
  // "IP:PORT".
  std::string mAddress;
  ZoneId mZone;
  Resources mCapacity;
  std::string mKind;
  RackId mRack;
  // A draining worker takes no new tasks.
  bool mDraining = false;
  // Of a draining worker: the least time until it leaves.
  std::optional<std::chrono::milliseconds> mLeavesIn;
};

enum class EndKind
{
  Succeeded,
  // By the task's own fault or by the worker's.
  Failed,
  Stopped,
  // The lease of the worker's tasks expired.
  LeaseExpired,
  // Another member of the gang ended.
  GangBroken,
  // The other members of the gang did not come.
  GangIncomplete
};

struct RunningTask
{
  TaskKey mTask;
  RunNumber mRun;
  // Newest checkpoint; empty for none.
  std::string mCheckpoint;
  int mPercent = 0;
};

struct EndedTask
{
  // Rises with each end in one life of a worker.
  std::uint64_t mSerial = 0;
  TaskKey mTask;
  RunNumber mRun;
  EndKind mKind = EndKind::Stopped;
  std::string mCheckpoint;
};

struct WorkerReport
{
  WorkerTime mNow{ 0 };
  std::optional<WorkerLife> mLife;
  std::vector<RunningTask> mRunning;
  // Ends that have not been confirmed yet, oldest first.
  std::vector<EndedTask> mEnded;
  // The worker has more unconfirmed ends than one report holds.
  bool mEndsCut = false;
};

} // namespace oriolevane::jobs
