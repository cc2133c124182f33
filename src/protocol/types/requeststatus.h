// What a caller is told about its request.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "protocol/types/taskstate.h"

namespace oriolevane::protocol {

// The three truthful outcomes, and what comes before them.
enum class Outcome : std::uint8_t
{
  // Recorded; no final outcome yet.
  Pending,
  // Ran; the tasks' answers are whole.
  Ran,
  // Surely did not run and never will under this id.
  NotRun,
  // May run, or may have run; ask again.
  NotKnownYet,
  // Nothing is known under this id.
  NotFound
};

enum class RefusalReason : std::uint8_t
{
  None,
  // Over the rate or the backlog that the class tolerates.
  Overloaded,
  QuotaExceeded,
  NeverRunnable,
  DeadlineUnreachable,
  DeadlinePassed,
  Cancelled,
  StoreUnavailable,
  // The partition has no owner yet, or its owner is recovering.
  Recovering,
  Stopping,
  UnknownWorkload,
  UnknownTeam,
  // The idempotency key was used before with another body.
  KeyReused,
  RetriesExhausted,
  // A never-repeat request whose worker was lost: may have run, will not run
  // again.
  MayHaveRun,
  Invalid,
  NoCapacity
};

struct TaskStatus
{
  std::uint32_t mIndex = 0;
  std::uint32_t mAttempt = 0;
  TaskState mState = TaskState::Queued;
  WorkerId mWorker;
  std::string mAnswer;

  bool operator==(const TaskStatus&) const = default;
};

// One decision in the life of a request: when (since submission), what, where,
// why.
struct TrailEntry
{
  std::chrono::milliseconds mSinceSubmission{ 0 };
  std::string mEvent;
  std::string mDetail;

  bool operator==(const TrailEntry&) const = default;
};

struct RequestStatus
{
  RequestId mId;
  Outcome mOutcome = Outcome::NotFound;
  RefusalReason mReason = RefusalReason::None;
  // More in words, e.g. which resource no host has.
  std::string mDetail;
  // When another try or question is worth it.
  std::optional<std::chrono::milliseconds> mRetryAfter;
  std::vector<TaskStatus> mTasks;
  // Filled when asked to explain.
  std::vector<TrailEntry> mTrail;

  bool operator==(const RequestStatus&) const = default;
};

} // namespace oriolevane::protocol
