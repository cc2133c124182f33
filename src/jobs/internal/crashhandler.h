// Finds out which lost runs ended in a crash of their worker, and fails the
// jobs of tasks that are given up for it.
#pragma once

#include "jobs/internal/cellstate.h"
#include "jobs/internal/runendhandler.h"

namespace oriolevane::jobs {

// What lets a worker whose runs were lost count as crashed.
enum class CrashProof
{
  // It has started anew since.
  Restarted,
  // It has left the registry, and does not answer.
  LeftRegistry,
  // Another worker answers at its address.
  AddressReused,
  // The earlier owner lost the run, and knew the worker.
  MissingAtTakeover
};

class CrashHandler
{
public:
  CrashHandler(CellState& aCell, RunEndHandler& aRunEndHandler)
    : mCell(aCell)
    , mRunEndHandler(aRunEndHandler)
  {
  }

  // Handles a worker that has just become unreachable.
  void OnUnreachable(Worker& aWorker);
  // Handles a worker whose lease has expired. Its runs are lost, and it is not
  // known whether the worker has crashed.
  void OnLeaseExpired(Worker& aWorker, const Moment& aNow);
  // Handles a worker that left the registry and is removed.
  void OnWorkerGone(Worker& aWorker, const Moment& aNow);
  // Handles an uncertain run that is missing from the worker's report: the
  // worker has restarted, or it never started the run.
  void OnRunAbsent(Worker& aWorker,
                   const RunPointer& aRun,
                   LossProof aProof,
                   const Moment& aNow);
  // Counts the runs that were lost with the worker before it was known to have
  // crashed.
  void CountLosses(Worker& aWorker, CrashProof aProof, const Moment& aNow);
  // Decides on these runs after the worker has answered: they are forgotten
  // unless it has restarted since.
  void ResolveLosses(Worker& aWorker, const Moment& aNow);
  // Goes on with the lost runs that the earlier owner recorded.
  void Recover(const Moment& aNow);

private:
  // Returns nullptr when the task has succeeded or its job is not open.
  Task* FindUnfinishedTask(const TaskKey& aKey);
  // Notes a run whose worker may have crashed.
  void NoteLoss(Worker& aWorker,
                const Run& aRun,
                crashes::CrashEvidence aEvidence);
  void CountLoss(const TaskKey& aTask,
                 RunNumber aRun,
                 CrashProof aProof,
                 const Moment& aNow);
  // Counts a run that a restart of the worker interrupted.
  void CountInterruption(const Worker& aWorker,
                         const Run& aRun,
                         const Moment& aNow);
  // Counts a crash, and fails the job when the task is given up.
  void CountCrash(const TaskKey& aTask,
                  RunNumber aRun,
                  const WorkerId& aWorker,
                  crashes::CrashEvidence aEvidence,
                  CrashProof aProof,
                  const Moment& aNow);

  CellState& mCell;
  RunEndHandler& mRunEndHandler;
};

} // namespace oriolevane::jobs
