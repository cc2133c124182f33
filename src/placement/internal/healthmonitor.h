// Learns run times and failure rates per workload from ended tasks, and detects
// workers that fail nearly every task.
#pragma once

#include "placement/internal/placercontext.h"

namespace oriolevane::placement {

// A failure counts as evidence against a worker to the extent that it is
// unlikely for the workload. The evidence is a cumulative sum (CUSUM) of
// log-likelihood ratios between two hypotheses: the worker fails nearly every
// task, or it fails at the usual rates of its workloads.
class HealthMonitor
{
public:
  explicit HealthMonitor(PlacerContext& aContext)
    : mContext(aContext)
  {
  }

  // Handles the end of an attempt of this placer on its worker.
  void Observe(AttemptIndex aIndex, const protocol::EndedTask& aTask);
  // Lets one task probe a worker whose quarantine is over.
  void BeginProbe(WorkerIndex aWorker);
  // Returns true when the health of the worker permits this attempt.
  bool Accepts(WorkerIndex aWorker, const Attempt& aAttempt) const;

private:
  void ObserveRunTime(const Attempt& aAttempt, WorkloadStats& aStats) const;
  // Updates the evidence against the worker and its health state.
  // aUsualFailureRate is the failure rate of the workload.
  void UpdateEvidence(WorkerIndex aWorker,
                      bool aFailed,
                      double aUsualFailureRate);
  // Stops giving work to the worker until its next probe.
  void Quarantine(WorkerIndex aWorker);
  // Ends the quarantine of a worker whose probe succeeded.
  void Release(WorkerIndex aWorker);
  // Limits a healthy worker to one task at a time while the evidence against it
  // is high.
  void UpdateThrottling(WorkerHealth& aHealth);
  // Returns the number of workers that may be quarantined, or throttled, at
  // once. When more workers than this fail, the cause is assumed not to be the
  // workers.
  std::uint32_t MaxSuspectWorkers() const;

  PlacerContext& mContext;
};

} // namespace oriolevane::placement
