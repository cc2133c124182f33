// Applies the ends of runs to their tasks, steps and jobs.
#pragma once

#include "jobs/internal/cellstate.h"
#include "jobs/internal/failureattribution.h"
#include "jobs/internal/runtracker.h"

namespace oriolevane::jobs {

// What shows that a run is over although its end was not reported.
enum class LossProof
{
  // The worker does not answer, and its lease has expired.
  LeaseExpired,
  // The worker does not list the run.
  NotListed,
  // The worker has restarted, and the lease of its former process has expired.
  FormerLeaseExpired
};

class RunEndHandler
{
public:
  RunEndHandler(CellState& aCell, RunTracker& aRuns)
    : mCell(aCell)
    , mRuns(aRuns)
    , mFailures(aCell)
  {
  }

  // Handles the end of a run on a worker. This node need not know the run.
  void OnRunEnded(Worker& aWorker, const EndedTask& aEnd, const Moment& aNow);
  // Handles a run that is over without a reported end.
  void OnRunLost(Worker& aWorker,
                 const RunPointer& aRun,
                 LossProof aProof,
                 const Moment& aNow);
  // Logs a run that counts as over without a reported end.
  static void LogLoss(const Run& aRun, LossProof aProof);
  // Handles a start order that was not carried out. A gang is stopped, since it
  // needs all of its members.
  void OnRunNotStarted(Worker& aWorker, Run* aRun, const Moment& aNow);
  // Records the final state of a job, and stops its runs unless it completed.
  RecordPosition CloseJob(Job& aJob, CloseReason aReason, const Moment& aNow);

  // Closes a recovered job whose recorded progress is final: the earlier owner
  // recorded the progress, but not the job's final state.
  void CloseIfEnded(Job& aJob, const Moment& aNow);

private:
  void ApplyEnd(Job& aJob, const EndedTask& aEnd, const Moment& aNow);
  // Marks a task as succeeded, or all tasks of a gang.
  void MarkSucceeded(Job& aJob, const TaskKey& aKey, const Moment& aNow);
  // Counts a failed run, and fails the job when the queue's limit is reached.
  void RecordFailure(Job& aJob, const EndedTask& aEnd, const Moment& aNow);
  // Stops all members of a gang after one of them has ended.
  void StopGang(Job& aJob, const StepKey& aStep, const Moment& aNow);
  // Finishes an occurrence whose steps are all done, and completes the job
  // after its last occurrence.
  void FinishOccurrenceIfDone(Job& aJob, int aOccurrence, const Moment& aNow);
  void UpdateHealth(Worker& aWorker,
                    Job& aJob,
                    const Run& aRun,
                    EndKind aKind,
                    const Moment& aNow);
  // Notes how long a successful run took on a worker.
  static void UpdateRunTime(Worker& aWorker,
                            Job& aJob,
                            const Run& aRun,
                            TimePoint aNow);
  // Compares the run times of a step whose tasks have all succeeded.
  void CompareRunTimes(const Step& aStep);

  CellState& mCell;
  RunTracker& mRuns;
  FailureAttribution mFailures;
};

} // namespace oriolevane::jobs
