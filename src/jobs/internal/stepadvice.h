// Which workers the policy service allows for a step, and the tickets for them.
#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "framework/types/timepoint.h"
#include "jobs/types/orders.h"

namespace oriolevane::jobs {

struct Worker;

struct Approval
{
  Worker* mWorker = nullptr;
  std::string mTicket;
  TimePoint mUsableUntil;
};

struct StepAdvice
{
  // A query is on its way.
  bool mAsking = false;
  TimePoint mAskedAt;
  // An answer has come since the step became known here.
  bool mAnswered = false;
  // All tickets can be used until then.
  TimePoint mFreshUntil;
  absl::flat_hash_set<const Worker*> mAsked;
  std::vector<Approval> mApproved;

  bool IsApproved(const Worker* aWorker) const;
  // Asked and not allowed; what the service allows does not change.
  bool IsRefused(const Worker* aWorker) const;
  void Forget(const Worker* aWorker);
  // A start with the worker's ticket was refused.
  void DropTicket(const Worker* aWorker);
};

} // namespace oriolevane::jobs
