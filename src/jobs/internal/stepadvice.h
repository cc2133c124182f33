// Stores which workers the policy service has approved for a step, and their
// tickets.
#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "framework/types/timepoint.h"
#include "jobs/types/orders.h"

namespace oriolevane::jobs {

struct Worker;

// A worker that the policy service has approved for a step.
struct Approval
{
  Worker* mWorker = nullptr;
  std::string mTicket;
  // End of the ticket's validity, less a margin for the delivery of the order.
  TimePoint mUsableUntil;
};

// The answers of the policy service about one step.
struct StepAdvice
{
  // Number of queries that have been sent and not yet answered.
  std::size_t mPendingQueries = 0;
  // The time that the policy service needs for all queries of the latest round;
  // 0 once all are answered.
  std::chrono::microseconds mPendingServiceTime{ 0 };
  // When the latest round of queries was sent.
  TimePoint mQueriedAt;
  // Number of queries in a row that got no answer.
  int mUnanswered = 0;
  // No query is sent before this time, because earlier ones got no answer.
  TimePoint mRetryAt;
  // The number of approvals that a gang aims for, once others than its approved
  // workers had room while it waited; 0 before.
  std::size_t mRaisedTarget = 0;
  // When is looked again whether others have room.
  TimePoint mNextRaise;
  // At least one answer has arrived since this node learned of the step.
  bool mAnswered = false;
  // Workers that some answer covered, whether approved or not.
  absl::flat_hash_set<const Worker*> mQueried;
  std::vector<Approval> mApproved;

  // Returns null when the worker is not known to be approved. An approval does
  // not change, but its ticket expires.
  const Approval* ApprovalOf(const Worker* aWorker) const;
  // The time until which at least aWorkers tickets can be used, or the tickets
  // of all approved workers when there are fewer.
  TimePoint TicketsUsableUntil(std::size_t aWorkers) const;
  void RemoveWorker(const Worker* aWorker);
  // Notes that a query got no answer. The pause before the next one doubles
  // each time, up to a maximum.
  void NoteUnanswered(TimePoint aNow);
  // Marks the ticket for a worker as expired, after the worker refused it.
  void InvalidateTicket(const Worker* aWorker);
};

} // namespace oriolevane::jobs
