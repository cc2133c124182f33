// Orders to workers, queries to the policy service, and their answers.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/timepoint.h"
#include "jobs/types/workerreport.h"

namespace oriolevane::jobs {

// Fencing token of an order. A worker refuses an order whose token is lower
// than the highest one that it has seen.
using FencingToken = NumberId<struct FencingTokenTag, std::uint64_t>;

// The worker that an order is sent to.
struct WorkerTarget
{
  WorkerId mId;
  std::string mAddress;
  // Empty when it is not known.
  ZoneId mZone;
};

// Starts a run of a task.
struct StartOrder
{
  WorkerTarget mWorker;
  FencingToken mToken;
  TaskKey mTask;
  RunNumber mRun;
  std::string mPayload;
  // Checkpoint to resume from; empty to start from the beginning.
  std::string mCheckpoint;
  // Ticket of the policy service; empty when none is needed.
  std::string mTicket;
  // End of the lease that covers all tasks on the worker, by its clock.
  WorkerTime mLeaseEnd{ 0 };
  // Number of times that the order has been sent, including this one.
  int mAttempt = 1;
};

// Stops a run of a task.
struct StopOrder
{
  WorkerTarget mWorker;
  FencingToken mToken;
  TaskKey mTask;
  RunNumber mRun;
};

// Renews the lease of a worker's tasks, acknowledges ended runs and requests a
// report.
struct PollOrder
{
  WorkerTarget mWorker;
  FencingToken mToken;
  // Increases with each poll of a worker, so that answers that arrive out of
  // order are detected.
  std::uint64_t mSerial = 0;
  // End of the lease by the worker's clock; empty to leave the lease as it is,
  // for example when the clock is not known yet.
  std::optional<WorkerTime> mLeaseEnd;
  // The worker can discard ended runs up to this serial, as they are recorded.
  std::uint64_t mConfirmedEndSerial = 0;
  // Long poll: the worker may delay its answer by up to this time, until a run
  // ends.
  std::chrono::milliseconds mWait{ 0 };
};

// Queries that take the policy service at least this long go to some of the
// nodes only, so that short queries do not wait behind them.
constexpr std::chrono::milliseconds kLongQueryServiceTime{ 200 };

// Asks the policy service which of some workers may run a step.
struct AdviceQuery
{
  StepKey mStep;
  std::vector<WorkerId> mWorkers;
  // Time that the policy service needs to handle the query.
  std::chrono::microseconds mServiceTime{ 0 };
  // How long the tickets can be used, unless the answer states another time.
  std::chrono::milliseconds mValidity{ 0 };
  // The step's tasks must start within a bounded time, however many other
  // queries wait.
  bool mBoundedWait = false;
};

// The number of queries about each step that have not been answered.
using QueryCounts = std::map<StepKey, std::size_t>;

// Permission to run the tasks of a step on a worker.
struct AdviceTicket
{
  WorkerId mWorker;
  std::string mTicket;
};

// The policy service's answer to an AdviceQuery.
struct AdviceAnswer
{
  StepKey mStep;
  // False when the service did not answer or refused the query.
  bool mAnswered = false;
  // The workers that the query named.
  std::vector<WorkerId> mAsked;
  std::vector<AdviceTicket> mApproved;
  // How long the tickets can still be used from now on.
  std::chrono::milliseconds mValidity{ 0 };
};

// The outcome of an order or poll that was sent to a worker.
enum class OrderResult
{
  Done,
  // Not carried out; the worker has seen a higher fencing token.
  Fenced,
  // Not carried out; a run of the task with this or a higher number has already
  // ended there.
  RunTooOld,
  // Not carried out; the lease end of the order has passed.
  TooLate,
  // Not carried out; the worker's free capacity is too small for the task.
  NoRoom,
  // Not carried out; the ticket is not valid.
  BadTicket,
  // Not carried out; the worker reports itself as unhealthy.
  Unhealthy,
  // Not carried out; another incarnation or another worker answered at the
  // address.
  OtherIncarnation,
  // Not carried out; the worker rejected the order as malformed.
  Malformed,
  // No answer: the order may have been carried out, or may still be.
  Unknown
};

// A worker's answer to a start or stop order.
struct OrderAnswer
{
  OrderResult mResult = OrderResult::Unknown;
  // The worker's clock, if the answer contained it.
  std::optional<WorkerTime> mNow;
};

// A worker's answer to a poll.
struct PollAnswer
{
  // One of Done, Fenced, OtherIncarnation, Unhealthy and Unknown.
  OrderResult mResult = OrderResult::Unknown;
  // Valid only when mResult is Done.
  WorkerReport mReport;
};

} // namespace oriolevane::jobs
