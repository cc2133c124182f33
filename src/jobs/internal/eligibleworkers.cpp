#include "jobs/internal/eligibleworkers.h"

#include <algorithm>

#include "jobs/internal/reservation.h"
#include "jobs/internal/workergroup.h"

namespace oriolevane::jobs {

namespace {

// True when a worker is usable and in the group.
bool
IsEligible(const Worker& aWorker, const WorkerGroup& aGroup)
{
  return aWorker.mWasUsable && aGroup.Contains(aWorker);
}

} // namespace

std::vector<Worker*>
ApprovedWorkers(const Candidate& aCandidate,
                const std::vector<Worker*>& aUsable)
{
  const QueuePolicy& queue = aCandidate.mJob->mRecord.mQueue;
  const WorkerGroup group = GroupOf(queue, aCandidate.Spec());
  std::vector<Worker*> workers;
  const auto add = [&](Worker* aWorker) {
    if (IsEligible(*aWorker, group)) {
      workers.push_back(aWorker);
    }
  };
  if (!queue.mAdvice.has_value()) {
    std::for_each(aUsable.begin(), aUsable.end(), add);
    return workers;
  }
  for (const Approval& approval : aCandidate.mStep->mAdvice.mApproved) {
    add(approval.mWorker);
  }
  return workers;
}

std::vector<EligibleWorker>
CollectEligibleWorkers(const Candidate& aCandidate,
                       const std::vector<Worker*>& aUsable,
                       TimePoint aNow)
{
  const QueuePolicy& queue = aCandidate.mJob->mRecord.mQueue;
  const WorkerGroup group = GroupOf(queue, aCandidate.Spec());
  std::vector<EligibleWorker> eligible;
  const auto add = [&](Worker* aWorker, const std::string* aTicket) {
    if (IsEligible(*aWorker, group)) {
      eligible.push_back({ .mWorker = aWorker,
                           .mTicket = aTicket,
                           .mLeftToGangs = aWorker->mLeftToGangs });
    }
  };
  if (!queue.mAdvice.has_value()) {
    for (Worker* worker : aUsable) {
      add(worker, nullptr);
    }
    return eligible;
  }
  for (const Approval& approval : aCandidate.mStep->mAdvice.mApproved) {
    if (approval.mUsableUntil > aNow) {
      add(approval.mWorker, &approval.mTicket);
    }
  }
  return eligible;
}

bool
HasRoomOnApproved(const Candidate& aCandidate)
{
  const StepSpec& spec = aCandidate.Spec();
  const WorkerGroup group = GroupOf(aCandidate.mJob->mRecord.mQueue, spec);
  int missing = spec.mGang ? spec.mTaskCount : 1;
  for (const Approval& approval : aCandidate.mStep->mAdvice.mApproved) {
    const Worker& worker = *approval.mWorker;
    if (!IsEligible(worker, group) || worker.mHasUnknownLoad ||
        !IsBelowPerWorkerLimit(
          { .mWorker = approval.mWorker }, aCandidate.mKey, spec)) {
      continue;
    }
    const int limit = worker.mHealth.IsOnTrial() ? 1
                      : spec.mMaxPerWorker > 0   ? spec.mMaxPerWorker
                                                 : missing;
    missing -= TasksThatFit(
      worker.mEntry.mCapacity, worker.mUsed, spec.mResources, limit);
    if (missing <= 0) {
      return true;
    }
  }
  return false;
}

bool
IsBelowPerWorkerLimit(const EligibleWorker& aChoice,
                      const StepKey& aStep,
                      const StepSpec& aSpec)
{
  if (aSpec.mMaxPerWorker == 0) {
    return true;
  }
  const auto here = std::count_if(
    aChoice.mWorker->mRuns.begin(),
    aChoice.mWorker->mRuns.end(),
    [&](const RunPointer& aRun) { return aRun->mTask.mStep == aStep; });
  return here + aChoice.mPlannedMembers < aSpec.mMaxPerWorker;
}

} // namespace oriolevane::jobs
