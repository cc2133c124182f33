// Finds the workers that may run a step: those of its pool with the label that
// it requires, and, for a queue with a policy service, with its approval.
#pragma once

#include <string>
#include <vector>

#include "jobs/internal/candidates.h"

namespace oriolevane::jobs {

// A worker that may run a step's tasks.
struct EligibleWorker
{
  Worker* mWorker = nullptr;
  // Null when the queue needs no tickets.
  const std::string* mTicket = nullptr;
  // Single tasks that can wait leave the worker to gangs.
  bool mLeftToGangs = false;
  // Members assigned to this worker so far, of the gang that is being placed.
  int mPlannedMembers = 0;
};

// The workers that the step may use, including those whose ticket has expired.
std::vector<Worker*>
ApprovedWorkers(const Candidate& aCandidate,
                const std::vector<Worker*>& aUsable);

// The workers on which the step may start now.
std::vector<EligibleWorker>
CollectEligibleWorkers(const Candidate& aCandidate,
                       const std::vector<Worker*>& aUsable,
                       TimePoint aNow);

// True when the workers that the policy service has approved have room for a
// task of the step, or for all members of a gang, whether or not their tickets
// have expired.
bool
HasRoomOnApproved(const Candidate& aCandidate);

// True when the worker runs fewer tasks of the step than it may.
bool
IsBelowPerWorkerLimit(const EligibleWorker& aChoice,
                      const StepKey& aStep,
                      const StepSpec& aSpec);

} // namespace oriolevane::jobs
