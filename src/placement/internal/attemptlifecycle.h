// The steps an attempt may take, with the bookkeeping that each needs.
#pragma once

#include <memory>
#include <string>

#include "placement/internal/placercontext.h"

namespace oriolevane::placement {

class AttemptLifecycle
{
public:
  explicit AttemptLifecycle(PlacerContext& aContext)
    : mContext(aContext)
  {
  }

  // Grants a waiting attempt its resources on the worker. False when they do
  // not fit.
  bool Grant(AttemptIndex aIndex, WorkerIndex aWorker);
  // Takes a grant back before anything was sent; the attempt waits again.
  void Revoke(AttemptIndex aIndex);
  // Orders the worker to start a granted attempt.
  void Start(AttemptIndex aIndex);
  // Counts an attempt that a worker was found to hold. It must not be granted
  // yet.
  void Adopt(AttemptIndex aIndex, WorkerIndex aWorker);
  // Tells whose an adopted attempt is.
  void Claim(AttemptIndex aIndex, const std::shared_ptr<Batch>& aBatch);
  // Changes a state that is not final and tells the coordinator.
  void SetState(AttemptIndex aIndex, protocol::TaskState aState);
  // Orders a started attempt to stop; the reason is kept for its end.
  void OrderStop(AttemptIndex aIndex,
                 protocol::TaskEndReason aReason,
                 bool aCheckpoint);
  // Ends the attempt and gives its capacity back. The update is repeated until
  // acknowledged.
  void Finish(AttemptIndex aIndex,
              protocol::TaskState aState,
              protocol::TaskEndReason aReason,
              std::string aAnswer = {});
  // The coordinator has recorded the end.
  void Acknowledge(AttemptIndex aIndex);
  // Erases an attempt that is acknowledged and that no worker keeps. Returns
  // true when it was erased.
  bool EraseIfDone(AttemptIndex aIndex);
  // Forgets which worker has it; nothing of it is left there.
  void Detach(AttemptIndex aIndex);
  // Adds an order to the worker's next command.
  void AddOrder(WorkerIndex aWorker, PendingOrder aOrder);

private:
  void Attach(AttemptIndex aIndex, WorkerIndex aWorker);
  void GiveBack(Attempt& aAttempt);
  void CountSibling(const Attempt& aAttempt, int aChange);
  void DropStart(const Attempt& aAttempt);

  PlacerContext& mContext;
};

} // namespace oriolevane::placement
