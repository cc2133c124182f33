// Reconciles the attempts of a worker with the inventory that it reports.
#pragma once

#include "placement/internal/attemptlifecycle.h"

namespace oriolevane::placement {

class HealthMonitor;

// Adopts attempts found on a worker, follows their states, and ends those that
// the worker no longer holds.
class InventoryReconciler
{
public:
  InventoryReconciler(PlacerContext& aContext,
                      AttemptLifecycle& aLifecycle,
                      HealthMonitor& aHealth);

  // Applies a report that was made under this placer's epoch.
  void Reconcile(WorkerIndex aWorker, const protocol::WorkerReport& aReport);
  // Ends the attempts of a worker that restarted: nothing that it ran before
  // runs now.
  void EndAllAfterRestart(WorkerIndex aWorker);
  // Marks the attempts of a silent worker as unknown. Their resources stay
  // granted.
  void MarkAllUnknown(WorkerIndex aWorker);
  // Ends the attempts of a worker whose leases have certainly lapsed.
  void EndAllAfterLapse(WorkerIndex aWorker);

private:
  void HandleRunning(WorkerIndex aWorker,
                     const protocol::RunningTask& aTask,
                     std::uint64_t aReportSequence);
  void HandleEnded(WorkerIndex aWorker,
                   const protocol::EndedTask& aTask,
                   std::uint64_t aReportSequence);
  // Adds an attempt that is known only from a report.
  AttemptIndex AddReported(const protocol::TaskKey& aKey,
                           PartitionId aPartition);
  // Updates the worker's attempts that the report does not list.
  void HandleUnlisted(WorkerIndex aWorker,
                      const protocol::WorkerReport& aReport);
  void HandleUnlistedAttempt(AttemptIndex aIndex,
                             std::uint64_t aAppliedSequence);
  // Removes the orders that the report shows as applied.
  void RemoveAppliedOrders(WorkerIndex aWorker,
                           const protocol::WorkerReport& aReport);
  void FinishEnded(AttemptIndex aIndex, const protocol::EndedTask& aTask);
  bool IsForgetPending(WorkerIndex aWorker,
                       const protocol::TaskKey& aKey) const;

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  HealthMonitor& mHealth;
};

} // namespace oriolevane::placement
