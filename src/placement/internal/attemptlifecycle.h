// State transitions of an attempt and the accounting that each one needs.
#pragma once

#include <memory>
#include <string>

#include "placement/internal/placercontext.h"

namespace oriolevane::placement {

// Keeps the ledger, the team quotas, the counts of waiting tasks and the
// workers' order lists consistent with the attempts.
class AttemptLifecycle
{
public:
  explicit AttemptLifecycle(PlacerContext& aContext)
    : mContext(aContext)
  {
  }

  // Grants a waiting attempt its resources on the worker. Returns false when
  // they do not fit.
  bool Grant(AttemptIndex aIndex, WorkerIndex aWorker);
  // Revokes a grant for which no start order was created; the attempt waits
  // again.
  void Revoke(AttemptIndex aIndex);
  // Creates the order to start an attempt whose resources are granted.
  void Start(AttemptIndex aIndex);
  // Accounts for an attempt that a worker has reported. The attempt must have
  // no granted resources yet.
  void Adopt(AttemptIndex aIndex, WorkerIndex aWorker);
  // Assigns an adopted attempt to the batch of the request that it belongs to.
  void AssignBatch(AttemptIndex aIndex, const std::shared_ptr<Batch>& aBatch);
  // Changes the state to one that is not final and notifies the coordinator.
  void SetState(AttemptIndex aIndex, protocol::TaskState aState);
  // Orders a started attempt to stop. The reason is reported with its end. A
  // cancellation replaces an earlier preemption; otherwise only the first order
  // takes effect.
  void OrderStop(AttemptIndex aIndex,
                 protocol::TaskEndReason aReason,
                 bool aCheckpoint);
  // Ends the attempt and releases its resources. The update is resent until the
  // coordinator acknowledges it.
  void Finish(AttemptIndex aIndex,
              protocol::TaskState aState,
              protocol::TaskEndReason aReason,
              std::string aAnswer = {});
  // Handles the coordinator's acknowledgement of the end.
  void Acknowledge(AttemptIndex aIndex);
  // Erases the attempt when its end is acknowledged and its worker can no
  // longer list it. Returns true when it was erased.
  bool EraseIfDone(AttemptIndex aIndex);
  // Removes the attempt from its worker's list. The worker must hold nothing of
  // it any more.
  void Detach(AttemptIndex aIndex);
  // Adds an order to the worker's next command, and to those that follow until
  // a report shows it as applied.
  void AddOrder(WorkerIndex aWorker, PendingOrder aOrder);

private:
  void Attach(AttemptIndex aIndex, WorkerIndex aWorker);
  void ReleaseGrant(Attempt& aAttempt);
  void CountForSpread(const Attempt& aAttempt, int aChange);
  void RemoveStartOrder(const Attempt& aAttempt);

  PlacerContext& mContext;
};

} // namespace oriolevane::placement
