// Learns from ended tasks: run times and failure rates by workload, and which
// workers fail everything.
#pragma once

#include "placement/internal/placercontext.h"

namespace oriolevane::placement {

// A failure speaks against a worker as far as it is unlikely for its workload.
// The evidence is a cumulative sum of log likelihood ratios between "this
// worker fails nearly everything" and "it fails as its workloads do".
class HealthMonitor
{
public:
  explicit HealthMonitor(PlacerContext& aContext)
    : mContext(aContext)
  {
  }

  // An attempt of this placer ended on its worker.
  void Observe(AttemptIndex aIndex, const protocol::EndedTask& aTask);
  // The quarantine of a worker is over: one task may probe it.
  void BeginProbe(WorkerIndex aWorker);
  // True when the worker may take this attempt as far as its health goes.
  bool Accepts(WorkerIndex aWorker, const Attempt& aAttempt) const;

private:
  void ObserveRunTime(const Attempt& aAttempt, WorkloadStats& aStats) const;
  void Weigh(WorkerIndex aWorker, bool aFailed, double aUsualRate);
  void Quarantine(WorkerIndex aWorker);
  void Release(WorkerIndex aWorker);
  void UpdateCaution(WorkerHealth& aHealth);
  // Workers that may be under suspicion at once: when there are more, it is
  // not the workers.
  std::uint32_t MostSuspects() const;

  PlacerContext& mContext;
};

} // namespace oriolevane::placement
