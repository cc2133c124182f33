// Keeps the leases of the workers: fences them, sends commands and heartbeats,
// watches their silence and follows the platform's list.
#pragma once

#include "placement/internal/attemptlifecycle.h"
#include "placement/internal/inventory.h"
#include "placement/types/workerslisted.h"
#include "placement/types/workerunreachable.h"

namespace oriolevane::placement {

class WorkerSupervisor
{
public:
  WorkerSupervisor(PlacerContext& aContext,
                   AttemptLifecycle& aLifecycle,
                   Inventory& aInventory);

  void HandleList(const WorkersListed& aList);
  void HandleReport(const protocol::WorkerReport& aReport);
  void HandleUnreachable(const WorkerUnreachable& aEvent);
  void HandlePolicy();
  // A worker's heartbeat timer is due.
  void HandleHeartbeat(WorkerIndex aWorker);
  // Sends the commands that this call gave cause for.
  void Flush();
  // True when each listed worker is fenced or its leases have surely lapsed.
  bool IsSettled();
  // True when at most a tenth of the listed workers are not settled.
  bool IsMostlySettled();

private:
  void AddWorker(const protocol::WorkerInfo& aInfo);
  void UpdateCapacityKinds();
  // False when the report is stale, from an earlier incarnation or of another
  // shard.
  bool IsNews(WorkerRecord& aWorker, const protocol::WorkerReport& aReport);
  void SwitchIncarnation(WorkerIndex aWorker, Incarnation aIncarnation);
  void CheckSilence(WorkerIndex aWorker);
  void GiveUpSilent(WorkerIndex aWorker);
  void EraseIfGone(WorkerIndex aWorker);
  protocol::WorkerCommand BuildCommand(WorkerRecord& aWorker);
  protocol::WorkerOrder BuildOrder(const PendingOrder& aPending) const;
  std::uint32_t CountUnsettled();

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  Inventory& mInventory;
  bool mListSeen = false;
  bool mEverSettled = false;
};

} // namespace oriolevane::placement
