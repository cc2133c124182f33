// Finds out which lost runs ended in a crash of their worker, and fails the
// jobs of tasks that are given up for it.
#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "jobs/internal/cellstate.h"
#include "jobs/internal/runendhandler.h"

namespace oriolevane::jobs {

// A lost run counts as crashed only once its worker is known to have started
// anew. A worker that has left the registry, has lost its address or is missing
// after a takeover may still return with the run.
class CrashHandler
{
public:
  CrashHandler(CellState& aCell, RunEndHandler& aRunEndHandler)
    : mCell(aCell)
    , mRunEndHandler(aRunEndHandler)
  {
  }

  // Handles a worker that has just become unreachable.
  void OnUnreachable(const Worker& aWorker);
  // Handles a worker of which a new incarnation has just become known.
  void OnRestarted(const Worker& aWorker);
  // Handles a worker whose lease has expired. Its runs are lost, and it is not
  // known whether the worker has crashed.
  void OnLeaseExpired(Worker& aWorker, const Moment& aNow);
  // Handles a worker that left the registry and is removed.
  void OnWorkerGone(Worker& aWorker, const Moment& aNow);
  // Handles a worker that has been added to the fleet.
  void OnWorkerAdded(Worker& aWorker);
  // Handles an uncertain run that is missing from the worker's report: the
  // worker has restarted, or it never started the run.
  void OnRunAbsent(Worker& aWorker,
                   const RunPointer& aRun,
                   LossProof aProof,
                   const Moment& aNow);
  // Handles a run that its worker still has: its task is cleared of suspicion
  // once the run has outlasted the probation.
  void OnRunPresent(Worker& aWorker, Run& aRun, const Moment& aNow);
  // Decides on the runs that were lost with the worker, after it is known which
  // incarnation the worker has: they have crashed if it is a later one, and are
  // forgotten otherwise.
  void ResolveLosses(Worker& aWorker, const Moment& aNow);
  // Goes on with the lost runs that the earlier owner recorded.
  void Recover();

private:
  using LostRuns = std::vector<std::pair<TaskKey, RunNumber>>;

  // Returns nullptr when the task has succeeded or its job is not open.
  Task* FindUnfinishedTask(const TaskKey& aKey);
  // Returns nullptr unless the run is lost and its task unfinished.
  Task* FindTaskOfLoss(const TaskKey& aTask, RunNumber aRun);
  crashes::WorkerFailure FailureOf(const Worker& aWorker) const;
  // A crash of the worker under the run; nothing for an unconfirmed start.
  std::optional<crashes::Crash> CrashOf(const Worker& aWorker,
                                        const Run& aRun,
                                        const RunAtCrash& aState);
  // What is known by now of the cause of a crash under the task.
  crashes::CrashEvidence EvidenceOf(const Task& aTask,
                                    const crashes::Crash& aCrash) const;
  // Notes a run whose worker may have crashed.
  void NoteLoss(Worker& aWorker, const Run& aRun);
  // Counts a run that a restart of the worker interrupted.
  void CountInterruption(const Worker& aWorker,
                         const Run& aRun,
                         const Moment& aNow);
  // Counts a crash, and gives the task up if it is shown to be the cause of its
  // crashes.
  void CountCrash(const TaskKey& aTask,
                  RunNumber aRun,
                  const crashes::Crash& aCrash,
                  const Moment& aNow);

  // Fails the job of a task that is shown to be the cause of its crashes. All
  // of them then have a known cause, and say nothing of other tasks.
  void GiveUp(const TaskKey& aTask, const Moment& aNow);
  // Asks again what the crashes under other tasks show, and gives those up that
  // are shown to be the cause of them.
  void ReviewCrashes(const Moment& aNow);
  // Removes tasks that have ended or been cleared from mCrashedTasks.
  void ForgetEndedTasks();
  // Raises the evidence against a task. Returns true when it is to be given up.
  bool ReviewTask(const TaskKey& aTask);

  CellState& mCell;
  RunEndHandler& mRunEndHandler;
  // Tasks with crashes; some of them may have ended since the last crash.
  std::set<TaskKey> mCrashedTasks;
  // Lost runs of workers that are not in the fleet. They may return.
  std::map<WorkerId, LostRuns> mLossesOfRemoved;
};

} // namespace oriolevane::jobs
