// What is said between the placer of a shard and one upstream worker, whatever
// the wire format.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/resources.h"
#include "protocol/types/taskkey.h"

namespace oriolevane::protocol {

// A worker as the platform's host list gives it.
struct WorkerInfo
{
  WorkerId mWorker;
  ZoneId mZone;
  RackId mRack;
  Resources mCapacity;
  // IP and port.
  std::string mAddress;
  bool mLeaving = false;

  bool operator==(const WorkerInfo&) const = default;
};

// Start a task under a lease; the worker stops it by itself when the lease
// lapses on its own monotonic clock.
struct StartOrder
{
  TaskKey mTask;
  // Opaque to the worker, reported back in its inventory.
  PartitionId mPartition;
  Resources mResources;
  bool mNeverRepeat = false;
  bool mService = false;
  std::string mPayload;

  bool operator==(const StartOrder&) const = default;
};

// Stop a task; with mCheckpoint it saves its progress first.
struct StopOrder
{
  TaskKey mTask;
  bool mCheckpoint = false;

  bool operator==(const StopOrder&) const = default;
};

// The outcome is recorded; forget the kept answer.
struct ForgetOrder
{
  TaskKey mTask;

  bool operator==(const ForgetOrder&) const = default;
};

using WorkerOrder = std::variant<StartOrder, StopOrder, ForgetOrder>;

// One exchange with a worker. Without orders it is a heartbeat: it announces
// the epoch and renews the leases of all tasks of the shard. The worker refuses
// it whole when it has seen a higher epoch for the shard, when mSequence is not
// above the highest it applied under this epoch, or when it is meant for
// another incarnation.
struct WorkerCommand
{
  WorkerId mWorker;
  ShardId mShard;
  Epoch mEpoch;
  // Rises with each command to one worker under one epoch.
  std::uint64_t mSequence = 0;
  // The incarnation whose report the sender saw last; zero, without orders,
  // before any report.
  Incarnation mIncarnation;
  // mClock of the latest report the sender handled; leases run until this plus
  // mLeaseFor on the worker's clock. Zero before any report.
  std::chrono::milliseconds mLeaseAnchor{ 0 };
  std::chrono::milliseconds mLeaseFor{ 0 };
  std::vector<WorkerOrder> mOrders;

  bool operator==(const WorkerCommand&) const = default;
};

struct RunningTask
{
  TaskKey mTask;
  PartitionId mPartition;
  Resources mResources;

  bool operator==(const RunningTask&) const = default;
};

// An ended task whose outcome is kept until ForgetOrder. mStarted is false when
// the worker refused the start.
struct EndedTask
{
  TaskKey mTask;
  PartitionId mPartition;
  bool mStarted = true;
  bool mSucceeded = false;
  // Stopped by order or by its lapsed lease rather than by itself.
  bool mStopped = false;
  std::string mAnswer;

  bool operator==(const EndedTask&) const = default;
};

// The whole state of a worker: what it does not list, it does not hold.
struct WorkerReport
{
  WorkerId mWorker;
  // Changes when the worker restarts; a restarted worker runs nothing of
  // before.
  Incarnation mIncarnation;
  // Rises with each report of one incarnation; an older report never replaces a
  // newer one.
  std::uint64_t mSequence = 0;
  // The worker's monotonic clock when it made this report.
  std::chrono::milliseconds mClock{ 0 };
  ShardId mShard;
  // The highest epoch of mShard that the worker has seen.
  Epoch mHighestEpoch;
  // True when the command this answers was refused for its epoch.
  bool mFenced = false;
  bool mLeaving = false;
  // The highest sequence of commands this report has seen applied, as numbered
  // by the sender; zero when unasked.
  std::uint64_t mCommandSequence = 0;
  std::vector<RunningTask> mRunning;
  std::vector<EndedTask> mEnded;

  bool operator==(const WorkerReport&) const = default;
};

} // namespace oriolevane::protocol
