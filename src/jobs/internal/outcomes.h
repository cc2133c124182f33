// What the ends of runs mean for their jobs.
#pragma once

#include "jobs/internal/cellstate.h"
#include "jobs/internal/runbook.h"

namespace oriolevane::jobs {

class Outcomes
{
public:
  Outcomes(CellState& aCell, RunBook& aRuns)
    : mCell(aCell)
    , mRuns(aRuns)
  {
  }

  // A run has ended on a worker. The run may be unknown here.
  void OnEnd(Worker& aWorker, const EndedTask& aEnd, const Moment& aNow);
  // A run is over without an end of its own: the worker's lease expired or its
  // life is over.
  void OnLost(Worker& aWorker, const RunPointer& aRun, const Moment& aNow);
  // Ends all runs of a worker so.
  void LoseAll(Worker& aWorker, const Moment& aNow);
  // An order was not carried out.
  void OnNotStarted(Worker& aWorker, Run* aRun, const Moment& aNow);
  // Cancels or fails a job: its runs are stopped.
  RecordPosition CloseJob(Job& aJob, JobState aState, const Moment& aNow);

  // Closes a recovered job whose progress was recorded but not what follows
  // from it.
  void Settle(Job& aJob, const Moment& aNow);

private:
  void ApplyEnd(Job& aJob, const EndedTask& aEnd, const Moment& aNow);
  void Succeed(Job& aJob, const TaskKey& aKey, const Moment& aNow);
  void Fail(Job& aJob, const EndedTask& aEnd, const Moment& aNow);
  // A member of a gang is gone: none of the others can go on.
  void BreakGang(Job& aJob, const StepKey& aStep, const Moment& aNow);
  void FinishOccurrence(Job& aJob, int aOccurrence, const Moment& aNow);
  void NoteHealth(Worker& aWorker,
                  const Job& aJob,
                  const Run& aRun,
                  EndKind aKind,
                  const Moment& aNow);

  CellState& mCell;
  RunBook& mRuns;
};

} // namespace oriolevane::jobs
