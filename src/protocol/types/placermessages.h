// Messages between the coordinator of a request partition and the placer of a
// worker shard. Each may be lost, doubled or reordered: receivers are
// idempotent by task key, senders repeat until answered. Both sides drop
// messages whose sender's epoch is lower than one seen before.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/resources.h"
#include "protocol/types/requestspec.h"
#include "protocol/types/taskkey.h"
#include "protocol/types/taskstate.h"

namespace oriolevane::protocol {

// Who speaks to whom: a coordinator's message carries its own epoch, a placer's
// its own.
struct Route
{
  PartitionId mPartition;
  ShardId mShard;
  Epoch mSenderEpoch;
  // Rises with each message that a coordinator of one epoch sends to the shard,
  // and is never used by another epoch. The placer drops a message that is not
  // above the highest seen, so that a late copy of a placement never follows
  // its cancellation or acknowledgement. A ReconcileAnswer repeats the one of
  // its query, so that an answer to an earlier owner is not taken for one to
  // this. Zero, as in a placer's other messages, is not checked.
  std::uint64_t mSequence = 0;

  bool operator==(const Route&) const = default;
};

// Coordinator to placer: place these tasks of one request. With mTogether all
// or none; with mHold capacity is reserved for mHoldFor and nothing starts
// before CommitHold.
struct PlaceTasks
{
  Route mRoute;
  RequestId mRequest;
  std::vector<std::uint32_t> mIndexes;
  std::uint32_t mAttempt = 1;
  // The shard's epoch that this attempt was first sent under; a placer of a
  // later epoch reports it but never starts it. Zero when not known.
  Epoch mShardEpoch;
  bool mTogether = false;
  bool mHold = false;
  std::chrono::milliseconds mHoldFor{ 0 };
  TeamId mTeam;
  WorkloadId mWorkload;
  Urgency mUrgency = Urgency::Normal;
  bool mNeverRepeat = false;
  bool mService = false;
  Resources mPerTask;
  std::chrono::milliseconds mExpectedRunTime{ 0 };
  std::optional<std::chrono::milliseconds> mTimeToDeadline;
  // Time that the request has already waited.
  std::chrono::milliseconds mAge{ 0 };
  // Hosts that an earlier attempt failed on.
  std::vector<WorkerId> mAvoid;
  std::string mPayload;

  bool operator==(const PlaceTasks&) const = default;
};

// Coordinator to placer: the gang is held everywhere, start the held tasks.
struct CommitHold
{
  Route mRoute;
  RequestId mRequest;
  std::uint32_t mAttempt = 1;

  bool operator==(const CommitHold&) const = default;
};

// Coordinator to placer: withdraw what is queued or held, stop what runs.
// Answered by a final TaskUpdate for each key.
struct CancelTasks
{
  Route mRoute;
  // The shard's epoch that these attempts were first sent under; zero when not
  // known.
  Epoch mShardEpoch;
  std::vector<TaskKey> mTasks;

  bool operator==(const CancelTasks&) const = default;
};

// Coordinator to placer: the final update of this task is recorded; the worker
// may forget its answer.
struct UpdateAck
{
  Route mRoute;
  TaskKey mTask;

  bool operator==(const UpdateAck&) const = default;
};

// Coordinator to placer after a takeover: list every attempt that you hold for
// my partition.
struct ReconcileQuery
{
  Route mRoute;

  bool operator==(const ReconcileQuery&) const = default;
};

// Placer to coordinator: the state of one attempt. Final states are repeated
// until acknowledged.
struct TaskUpdate
{
  Route mRoute;
  TaskKey mTask;
  TaskState mState = TaskState::Queued;
  TaskEndReason mReason = TaskEndReason::None;
  WorkerId mWorker;
  std::string mAnswer;
  // When NotStarted may be worth another try.
  std::optional<std::chrono::milliseconds> mRetryAfter;

  bool operator==(const TaskUpdate&) const = default;
};

// Placer to coordinator: all these tasks have capacity reserved for mHeldFor
// from now.
struct TasksHeld
{
  Route mRoute;
  RequestId mRequest;
  std::uint32_t mAttempt = 1;
  std::vector<std::uint32_t> mIndexes;
  std::chrono::milliseconds mHeldFor{ 0 };

  bool operator==(const TasksHeld&) const = default;
};

struct HeldTask
{
  TaskKey mTask;
  TaskState mState = TaskState::Queued;
  WorkerId mWorker;

  bool operator==(const HeldTask&) const = default;
};

// Placer to coordinator. Complete once every worker of the shard is fenced or
// its leases have surely lapsed; an incomplete answer is followed by another.
struct ReconcileAnswer
{
  Route mRoute;
  bool mComplete = false;
  std::vector<HeldTask> mTasks;

  bool operator==(const ReconcileAnswer&) const = default;
};

using ToPlacer =
  std::variant<PlaceTasks, CommitHold, CancelTasks, UpdateAck, ReconcileQuery>;
using ToCoordinator = std::variant<TaskUpdate, TasksHeld, ReconcileAnswer>;

} // namespace oriolevane::protocol
