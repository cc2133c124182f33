// Starts and ends of runs, kept alike at the task and at the worker.
#pragma once

#include "jobs/internal/cellstate.h"

namespace oriolevane::jobs {

class RunBook
{
public:
  explicit RunBook(CellState& aCell)
    : mCell(aCell)
  {
  }

  // The number for the next start of a task; each owner's numbers are above
  // those of the owners before it.
  RunNumber NextNumber(const Task& aTask) const;
  // Sends a start order. The task's key must exist.
  void Start(Job& aJob,
             const TaskKey& aKey,
             RunNumber aNumber,
             Worker& aWorker,
             const std::string& aTicket,
             const std::string& aCheckpoint,
             TimePoint aNow);
  // Sends the order of a run again, whose answer is missing: a worker starts a
  // run once, however often it is told to. False when it should not, or has
  // been often enough.
  bool OrderAgain(const StartOrder& aOrder,
                  Run& aRun,
                  Worker& aWorker,
                  TimePoint aNow);
  // The worker has the run.
  void NoteRunning(Run& aRun, TimePoint aNow);
  // Takes over a run that a worker reports and that no order of this node
  // started.
  void Adopt(Worker& aWorker, const RunningTask& aRunning, TimePoint aNow);
  // The worker has a new life. Its runs are gone, but for orders that came late
  // enough; its next report tells.
  static void DoubtAll(Worker& aWorker);
  // The run is over, or never was.
  void Drop(Worker& aWorker, Run* aRun);
  // Asks the worker to stop the run; sent again until its end is known.
  void Stop(Run& aRun, TimePoint aNow);
  void StopAll(const std::vector<RunPointer>& aRuns, TimePoint aNow);
  void StopStep(Step& aStep, TimePoint aNow);
  void StopJob(Job& aJob, TimePoint aNow);
  // Sends the stop orders that are due again.
  void RepeatStops(TimePoint aNow);
  void OnStopAnswer(const StopOrder& aOrder,
                    const OrderAnswer& aAnswer,
                    TimePoint aNow);

private:
  void SendStop(Run& aRun, Worker& aWorker, TimePoint aNow);

  CellState& mCell;
};

} // namespace oriolevane::jobs
