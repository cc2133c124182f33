#include "jobs/internal/eligibleworkers.h"

#include <algorithm>

#include "jobs/internal/reservation.h"

namespace oriolevane::jobs {

namespace {

// True when a worker is usable, is in the queue's pool and has the required
// label.
bool
IsEligible(const Worker& aWorker,
           const QueuePolicy& aQueue,
           const StepSpec& aSpec)
{
  const WorkerEntry& entry = aWorker.mEntry;
  const bool labelled = aSpec.mRequiredLabel.empty() ||
                        aSpec.mRequiredLabel == entry.mKind ||
                        aSpec.mRequiredLabel == entry.mRack.mValue;
  return aWorker.mWasUsable && labelled && entry.mPool == aQueue.mPool;
}

} // namespace

std::vector<Worker*>
ApprovedWorkers(const Candidate& aCandidate,
                const std::vector<Worker*>& aUsable)
{
  const QueuePolicy& queue = aCandidate.mJob->mRecord.mQueue;
  const StepSpec& spec = aCandidate.Spec();
  std::vector<Worker*> workers;
  const auto add = [&](Worker* aWorker) {
    if (IsEligible(*aWorker, queue, spec)) {
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
  const StepSpec& spec = aCandidate.Spec();
  std::vector<EligibleWorker> eligible;
  if (!queue.mAdvice.has_value()) {
    for (Worker* worker : aUsable) {
      if (IsEligible(*worker, queue, spec)) {
        eligible.push_back({ .mWorker = worker, .mTicket = nullptr });
      }
    }
    return eligible;
  }
  for (const Approval& approval : aCandidate.mStep->mAdvice.mApproved) {
    if (approval.mUsableUntil > aNow &&
        IsEligible(*approval.mWorker, queue, spec)) {
      eligible.push_back(
        { .mWorker = approval.mWorker, .mTicket = &approval.mTicket });
    }
  }
  return eligible;
}

bool
HasRoomOnApproved(const Candidate& aCandidate)
{
  const StepSpec& spec = aCandidate.Spec();
  int missing = spec.mGang ? spec.mTaskCount : 1;
  for (const Approval& approval : aCandidate.mStep->mAdvice.mApproved) {
    const Worker& worker = *approval.mWorker;
    if (!IsEligible(worker, aCandidate.mJob->mRecord.mQueue, spec) ||
        worker.mHasUnknownLoad ||
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
