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
  bool IsSettled() const { return mListSeen && mUnsettled == 0; }
  // True when at most a tenth of the workers are not settled.
  bool IsMostlySettled() const;

private:
  void AddWorker(const protocol::WorkerInfo& aInfo);
  void UpdateCapacityKinds();
  // False when the report is stale, or from an incarnation that is not known
  // to be the current one.
  bool IsNews(WorkerIndex aWorker, const protocol::WorkerReport& aReport);
  // True when the unknown incarnation has proved to live now.
  bool HasProvedCurrent(WorkerIndex aWorker,
                        const protocol::WorkerReport& aReport);
  void Retire(WorkerRecord& aWorker, Incarnation aIncarnation);
  void SwitchIncarnation(WorkerIndex aWorker, Incarnation aIncarnation);
  void CheckSilence(WorkerIndex aWorker);
  void GiveUpSilent(WorkerIndex aWorker);
  void EraseIfGone(WorkerIndex aWorker);
  protocol::WorkerCommand BuildCommand(WorkerRecord& aWorker);
  protocol::WorkerOrder BuildOrder(const PendingOrder& aPending) const;
  void Settle(WorkerRecord& aWorker);

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  Inventory& mInventory;
  bool mListSeen = false;
  // Workers that are not settled, and all.
  std::uint32_t mUnsettled = 0;
  std::uint32_t mWorkers = 0;
};

} // namespace oriolevane::placement
