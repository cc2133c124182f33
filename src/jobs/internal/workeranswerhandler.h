// Handles the answers of workers to polls and start orders, and the expiry of
// their leases.
#pragma once

#include "jobs/internal/adviceplanner.h"
#include "jobs/internal/cellstate.h"
#include "jobs/internal/crashhandler.h"
#include "jobs/internal/runendhandler.h"
#include "jobs/internal/runtracker.h"

namespace oriolevane::jobs {

class WorkerAnswerHandler
{
public:
  WorkerAnswerHandler(CellState& aCell,
                      RunTracker& aRuns,
                      RunEndHandler& aRunEndHandler,
                      CrashHandler& aCrashHandler,
                      AdvicePlanner& aAdvice)
    : mCell(aCell)
    , mRuns(aRuns)
    , mRunEndHandler(aRunEndHandler)
    , mCrashHandler(aCrashHandler)
    , mAdvice(aAdvice)
  {
  }

  // Handles the answer to a poll that was sent at aSentAt, or its absence.
  void OnPollAnswer(const PollOrder& aPoll,
                    TimePoint aSentAt,
                    const PollAnswer& aAnswer,
                    const Moment& aNow);
  // Handles the answer to a start order, or its absence.
  void OnStartAnswer(const StartOrder& aOrder,
                     const OrderAnswer& aAnswer,
                     const Moment& aNow);
  // Handles runs as lost whose worker does not list them any more, or is
  // unreachable and has no lease. Another owner may have
  // acknowledged their ends or renewed the lease, so this has to wait until the
  // store shows that there was none.
  void ConcludeLosses(const Moment& aNow);

private:
  // Applies a worker's report: its incarnation, clock, ended and running tasks.
  void ProcessReport(Worker& aWorker,
                     const PollOrder& aPoll,
                     TimePoint aSentAt,
                     const WorkerReport& aReport,
                     const Moment& aNow);
  // Applies the ends that have not been seen before, and remembers when they
  // can be confirmed to the worker.
  void ProcessEnds(Worker& aWorker,
                   const WorkerReport& aReport,
                   const Moment& aNow);
  // Adopts unknown runs and updates the progress and checkpoints of known ones.
  void ProcessRunning(Worker& aWorker,
                      TimePoint aSentAt,
                      const WorkerReport& aReport,
                      const Moment& aNow);
  // Notes the runs that a complete report no longer lists.
  void NoteAbsentRuns(Worker& aWorker,
                      const PollOrder& aPoll,
                      TimePoint aSentAt,
                      const WorkerReport& aReport,
                      const Moment& aNow);
  void ConcludeAbsences(Worker& aWorker, const Moment& aNow);
  // By when a run has ended that the worker's present process does not list.
  TimePoint EndOfAbsentRun(const Run& aRun) const;
  void ExpireLease(Worker& aWorker, const Moment& aNow);

  CellState& mCell;
  RunTracker& mRuns;
  RunEndHandler& mRunEndHandler;
  CrashHandler& mCrashHandler;
  AdvicePlanner& mAdvice;
};

} // namespace oriolevane::jobs
