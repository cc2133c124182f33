// The components of a placer and their connections.
#pragma once

#include "placement/internal/attemptlifecycle.h"
#include "placement/internal/coordinatormessagehandler.h"
#include "placement/internal/gangplacer.h"
#include "placement/internal/healthmonitor.h"
#include "placement/internal/inventoryreconciler.h"
#include "placement/internal/preemptor.h"
#include "placement/internal/reservations.h"
#include "placement/internal/scheduler.h"
#include "placement/internal/statecheck.h"
#include "placement/internal/taskqueue.h"
#include "placement/internal/workerpicker.h"
#include "placement/internal/workersupervisor.h"
#include "placement/placer.h"

namespace oriolevane::placement {

// Dispatches events and due timers to the components.
struct Placer::Impl
{
  explicit Impl(const PlacerOptions& aOptions);

  void Handle(const WorkersListed& aList);
  void Handle(const protocol::WorkerReport& aReport);
  void Handle(const WorkerUnreachable& aEvent);
  void Handle(const protocol::PlaceTasks& aPlaceTasks);
  void Handle(const protocol::CommitHold& aCommit);
  void Handle(const protocol::CancelTasks& aCancel);
  void Handle(const protocol::UpdateAck& aAck);
  void Handle(const protocol::ReconcileQuery& aQuery);
  void Handle(const PolicyChanged& aChange);
  void Handle(const HandOverBegan& aEvent);
  void Handle(const OwnershipConfirmation& aEvent);
  void Handle(const Tick& aTick);

  protocol::ShardDigest MakeDigest();

  PlacerContext mContext;
  AttemptLifecycle mLifecycle;
  HealthMonitor mHealth;
  Reservations mReservations;
  TaskQueue mQueue;
  WorkerPicker mPicker;
  GangPlacer mGangs;
  Preemptor mPreemptor;
  Scheduler mScheduler;
  InventoryReconciler mInventoryReconciler;
  WorkerSupervisor mSupervisor;
  CoordinatorMessageHandler mMessageHandler;

private:
  void HandleTimer(const Timer& aTimer);
  void RepeatUpdate(AttemptIndex aIndex);
  // Ends a waiting attempt that can no longer meet its deadline.
  void EndIfPastLatestStart(const AttemptRef& aRef);
  void FinishRecoveryIfReconciled();
  void RecheckFeasibilityIfChanged();
  void MeasurePlacementRate();

  // Sequence number of the latest digest.
  std::uint64_t mDigestSequence = 0;
  // The capacity version against which the waiting tasks were last checked.
  std::uint64_t mCheckedCapacityVersion = 0;
  // Time of the latest rate measurement and the number of tasks placed by then.
  TimePoint mRateMeasuredAt;
  std::uint64_t mRatePlacedCount = 0;
};

} // namespace oriolevane::placement
