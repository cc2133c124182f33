// Decides which waiting tasks start, and on which workers.
#pragma once

#include <vector>

#include "jobs/internal/candidates.h"
#include "jobs/internal/eligibleworkers.h"
#include "jobs/internal/gangreservations.h"
#include "jobs/internal/runtracker.h"
#include "jobs/internal/usableworkers.h"
#include "jobs/internal/waitmonitor.h"

namespace oriolevane::jobs {

class Dispatcher
{
public:
  Dispatcher(CellState& aCell, RunTracker& aRuns, AdvicePlanner& aAdvice)
    : mCell(aCell)
    , mRuns(aRuns)
    , mAdvice(aAdvice)
    , mCandidates(aCell, aAdvice)
    , mUsable(aCell)
    , mGangReservations(aCell)
  {
  }

  // Starts the tasks that can start now, and queries the policy service for
  // waiting and upcoming steps. What an earlier owner may have started is
  // skipped until aReconciled, which means that all of its runs are known.
  void Dispatch(const Moment& aNow, bool aReconciled);
  // The long-running steps that waited after the last pass.
  const LongRunningWaits& Waits() const { return mWaitMonitor.Waits(); }
  // The workers that were on trial before the last pass.
  const WorkerTrials& Trials() const { return mUsable.Trials(); }
  // The workers whose present entry had not been read before the last pass.
  const EntryWaits& WorkerEntryWaits() const { return mUsable.Waits(); }

private:
  // Logs that this node starts nothing, once until it does again.
  void ReportSuspension(TimePoint aNow);
  // True when the policy service may be queried about the step in this pass.
  bool MayQuery(const Candidate& aCandidate);
  // Returns false when the step has to wait for its team's quota. It then takes
  // no part in the pass.
  bool QuotaAllowsStart(const Candidate& aCandidate);
  // Starts what fits of a step, and reserves capacity for a gang that has to
  // wait.
  void Place(const Candidate& aCandidate, const Moment& aNow);
  // True for a gang that has waited for some time and can still end in time.
  bool HoldsBackSingleTasks(const Candidate& aCandidate) const;
  // Leaves a part of the workers to such gangs.
  void LimitSingleTasks(const std::vector<Candidate>& aCandidates) const;
  // Returns false when the last attempt to start the step failed, and since
  // then no worker has gained room and none has become allowed.
  bool IsWorthTrying(const Candidate& aCandidate) const;
  // Starts each waiting task of a step that is not a gang, as far as it fits.
  void PlaceTasks(const Candidate& aCandidate, const Moment& aNow);
  // Logs the start of a step and reports how long the step has been ready.
  void ReportStepStarted(const Candidate& aCandidate,
                         std::size_t aEligible,
                         const Moment& aNow) const;
  // Reserves capacity for a gang that has to wait.
  void ReserveForGang(const Candidate& aCandidate);
  bool MayUseSlowWorkers(const Candidate& aCandidate) const;
  // A worker for each member of a gang, as far as they fit.
  std::vector<const EligibleWorker*> ChooseGangWorkers(
    const Candidate& aCandidate,
    std::vector<EligibleWorker>& aEligible);
  // Starts all members of a gang, or none when they do not all fit.
  void PlaceGang(const Candidate& aCandidate, const Moment& aNow);
  // The worker with the lowest placement cost among those with room for a task;
  // null when there is none.
  EligibleWorker* ChooseWorker(const Candidate& aCandidate,
                               const Task& aTask,
                               std::vector<EligibleWorker>& aEligible);
  // Remembers a failed attempt to start a step, so that the step is not tried
  // again until a worker gains room. An attempt that failed because capacity
  // was withheld is not remembered, so that the next pass tries the step again.
  void RecordFailedAttempt(Step& aStep) const;
  void StartTask(const Candidate& aCandidate,
                 int aIndex,
                 RunNumber aNumber,
                 const EligibleWorker& aChoice,
                 const std::string& aCheckpoint,
                 TimePoint aNow);

  CellState& mCell;
  RunTracker& mRuns;
  AdvicePlanner& mAdvice;
  CandidateCollector mCandidates;
  UsableWorkers mUsable;
  GangReservations mGangReservations;
  WaitMonitor mWaitMonitor;
  // A worker with room was passed over in the current attempt, because its
  // capacity is withheld for gangs.
  bool mCapacityWithheld = false;
  // The last task that found no worker waits to start apart from other jobs.
  bool mAwaitsIsolation = false;
  TimePoint mNow;
  // Since when nothing is started; nothing while tasks may start.
  std::optional<TimePoint> mSuspendedSince;
};

} // namespace oriolevane::jobs
