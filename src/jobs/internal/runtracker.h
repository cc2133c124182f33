// Starts, stops and removes runs, keeping the run lists of tasks and workers
// consistent.
#pragma once

#include "jobs/internal/cellstate.h"

namespace oriolevane::jobs {

class RunTracker
{
public:
  explicit RunTracker(CellState& aCell)
    : mCell(aCell)
  {
  }

  // The number for the next start of a task. Numbers given out by an owner are
  // higher than those of all earlier owners.
  RunNumber NextRunNumber(const Task& aTask) const;
  // Adds a run and sends its start order. The task's key must exist.
  void Start(Job& aJob,
             const TaskKey& aKey,
             RunNumber aNumber,
             Worker& aWorker,
             const std::string& aTicket,
             const std::string& aCheckpoint,
             TimePoint aNow);
  // Sends a start order again after no answer arrived. This is safe because a
  // worker starts a run once, however many orders it receives. Returns false,
  // without sending, when the run is not wanted any more, the lease cannot be
  // renewed or the limit of orders is reached.
  bool ResendStart(const StartOrder& aOrder,
                   Run& aRun,
                   Worker& aWorker,
                   TimePoint aNow);
  // Marks a run as running after its worker confirmed it.
  void MarkRunning(Run& aRun, TimePoint aNow);
  // Takes over a run that a worker reports and that no order of this node
  // started. The run is stopped when its task is unknown or does not need it.
  Run* Adopt(Worker& aWorker, const RunningTask& aRunning, TimePoint aNow);
  // Removes a run that has ended or never started.
  void RemoveRun(Worker& aWorker, Run* aRun);
  // Orders the worker to stop a run. ResendStops() sends the order again until
  // the end of the run is known.
  void Stop(Run& aRun, TimePoint aNow);
  void StopAll(const std::vector<RunPointer>& aRuns, TimePoint aNow);
  void StopStep(Step& aStep, TimePoint aNow);
  void StopJob(Job& aJob, TimePoint aNow);
  // Stops the gangs of a job of which a member is missing.
  void StopIncompleteGangs(Job& aJob, TimePoint aNow);
  // Sends the stop orders again that are due.
  void ResendStops(TimePoint aNow);
  void OnStopAnswer(const StopOrder& aOrder,
                    const OrderAnswer& aAnswer,
                    TimePoint aNow);

private:
  // The team of a job that is open or whose final state is kept; empty for
  // none.
  TeamId TeamOf(const JobId& aJob) const;
  // Adds a run to its worker and to the usage of its team.
  void AddRun(Worker& aWorker, const RunPointer& aRun);
  void SendStop(Run& aRun, Worker& aWorker, TimePoint aNow);

  CellState& mCell;
};

} // namespace oriolevane::jobs
