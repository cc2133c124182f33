// Compares what a worker reports with what the placer believes it holds.
#pragma once

#include "placement/internal/attemptlifecycle.h"

namespace oriolevane::placement {

class HealthMonitor;

class Inventory
{
public:
  Inventory(PlacerContext& aContext,
            AttemptLifecycle& aLifecycle,
            HealthMonitor& aHealth);

  // Takes over a report that carries this placer's epoch.
  void Compare(WorkerIndex aWorker, const protocol::WorkerReport& aReport);
  // The worker restarted: nothing of before runs.
  void LoseAll(WorkerIndex aWorker);
  // The worker is silent: its attempts are unknown but stay counted.
  void DoubtAll(WorkerIndex aWorker);
  // The worker's leases have surely lapsed: its attempts are over.
  void GiveUpAll(WorkerIndex aWorker);

private:
  void TakeRunning(WorkerIndex aWorker,
                   const protocol::RunningTask& aTask,
                   std::uint64_t aReport);
  void TakeEnded(WorkerIndex aWorker,
                 const protocol::EndedTask& aTask,
                 std::uint64_t aReport);
  AttemptIndex AddFound(const protocol::TaskKey& aKey, PartitionId aPartition);
  // Settles the attempts that the report does not list.
  void TakeMissing(WorkerIndex aWorker, const protocol::WorkerReport& aReport);
  void TakeMissingOne(AttemptIndex aIndex, std::uint64_t aApplied);
  void DropApplied(WorkerIndex aWorker, const protocol::WorkerReport& aReport);
  void FinishEnded(AttemptIndex aIndex, const protocol::EndedTask& aTask);
  bool IsForgetPending(WorkerIndex aWorker,
                       const protocol::TaskKey& aKey) const;

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  HealthMonitor& mHealth;
};

} // namespace oriolevane::placement
