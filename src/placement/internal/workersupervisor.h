// Keeps the leases on the workers of a shard: establishes this placer's epoch
// on them, sends commands and heartbeats, detects workers that have stopped
// reporting and follows the platform's host list.
#pragma once

#include "placement/internal/attemptlifecycle.h"
#include "placement/internal/inventoryreconciler.h"
#include "placement/types/workerslisted.h"
#include "placement/types/workerunreachable.h"

namespace oriolevane::placement {

// A worker is reconciled once it has accepted this placer's epoch or all leases
// granted under earlier epochs have certainly expired.
class WorkerSupervisor
{
public:
  WorkerSupervisor(PlacerContext& aContext,
                   AttemptLifecycle& aLifecycle,
                   InventoryReconciler& aInventory);

  // Adds the listed workers and marks the others as no longer listed.
  void HandleList(const WorkersListed& aList);
  // Handles the report of a worker. Stale reports are ignored.
  void HandleReport(const protocol::WorkerReport& aReport);
  // Handles a failed exchange with a worker.
  void HandleUnreachable(const WorkerUnreachable& aEvent);
  // Applies the drained workers and the grantable share of a new policy.
  void HandlePolicy();
  // Handles the heartbeat timer of a worker.
  void HandleHeartbeat(WorkerIndex aWorker);
  // Sends the commands that fell due in the current call.
  void SendScheduledCommands();
  // Returns true when a host list has arrived and all workers are reconciled.
  bool IsReconciled() const { return mHasList && mUnreconciledCount == 0; }
  // Returns true when a host list has arrived and at most a tenth of the
  // workers are not reconciled.
  bool IsMostlyReconciled() const;

private:
  // Adds a listed worker, or updates it when it is known.
  void AddWorker(const protocol::WorkerInfo& aInfo);
  // Updates the distinct grantable capacities of the listed workers.
  void UpdateCapacityKinds();
  // Returns false when the report is stale or comes from an incarnation that is
  // not known to be the current one.
  bool IsCurrentReport(WorkerIndex aWorker,
                       const protocol::WorkerReport& aReport);
  // Returns true when the report proves that its unknown incarnation is the
  // current one.
  bool IsProvenCurrent(WorkerIndex aWorker,
                       const protocol::WorkerReport& aReport);
  // Records that an incarnation is not the current one.
  void AddPastIncarnation(WorkerRecord& aWorker, Incarnation aIncarnation);
  // Makes an incarnation the current one. Nothing that ran before it still
  // runs.
  void SwitchIncarnation(WorkerIndex aWorker, Incarnation aIncarnation);
  // Reports attempts as unknown, and later as lost, when the worker has sent no
  // report for too long.
  void CheckSilence(WorkerIndex aWorker);
  void GiveUpSilent(WorkerIndex aWorker);
  // Removes an unlisted worker without attempts.
  void EraseWorker(WorkerIndex aWorker);
  // Builds the next command with the pending orders. While the worker's epoch
  // or incarnation is uncertain, the command has no orders and renews no lease.
  protocol::WorkerCommand BuildCommand(WorkerRecord& aWorker);
  protocol::WorkerOrder BuildOrder(const PendingOrder& aPending) const;
  // Marks the worker as reconciled.
  void MarkReconciled(WorkerRecord& aWorker);

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  InventoryReconciler& mInventoryReconciler;
  // A host list has arrived.
  bool mHasList = false;
  // Number of workers that are not reconciled, and of all workers.
  std::uint32_t mUnreconciledCount = 0;
  std::uint32_t mWorkerCount = 0;
};

} // namespace oriolevane::placement
