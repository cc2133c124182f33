// The parts of a placer, wired together.
#pragma once

#include "placement/internal/attemptlifecycle.h"
#include "placement/internal/gangplacer.h"
#include "placement/internal/healthmonitor.h"
#include "placement/internal/inventory.h"
#include "placement/internal/preemptor.h"
#include "placement/internal/requestintake.h"
#include "placement/internal/reservations.h"
#include "placement/internal/scheduler.h"
#include "placement/internal/statecheck.h"
#include "placement/internal/taskqueue.h"
#include "placement/internal/workerpicker.h"
#include "placement/internal/workersupervisor.h"
#include "placement/placer.h"

namespace oriolevane::placement {

struct Placer::Parts
{
  explicit Parts(const PlacerOptions& aOptions);

  void Take(const WorkersListed& aList);
  void Take(const protocol::WorkerReport& aReport);
  void Take(const WorkerUnreachable& aEvent);
  void Take(const protocol::PlaceTasks& aOrder);
  void Take(const protocol::CommitHold& aCommit);
  void Take(const protocol::CancelTasks& aCancel);
  void Take(const protocol::UpdateAck& aAck);
  void Take(const protocol::ReconcileQuery& aQuery);
  void Take(const PolicyChanged& aChange);
  void Take(const HandOverBegan& aEvent);
  void Take(const OwnershipConfirmed& aEvent);
  void Take(const Tick& aTick);

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
  Inventory mInventory;
  WorkerSupervisor mSupervisor;
  RequestIntake mIntake;

private:
  void Fire(const Timer& aTimer);
  void RepeatUpdate(AttemptIndex aIndex);
  void EndIfTooLate(const AttemptRef& aRef);
  void FinishRecoveryIfSettled();
  void RecheckSizesIfChanged();
  void MeasureRate();

  std::uint64_t mDigestSequence = 0;
  std::uint64_t mCheckedCapacity = 0;
  TimePoint mRateSince;
  std::uint64_t mRatePlaced = 0;
};

} // namespace oriolevane::placement
