// Decides when a worker on trial may get a task, and when its trial is over.
#pragma once

#include "jobs/internal/worker.h"

namespace oriolevane::jobs {

// True while a run on the worker has yet to show whether the worker works. A
// long-running task does not fill a trial if it started before or has stayed at
// work, as it may run until its job is cancelled.
bool
IsTrialFull(const Worker& aWorker, TimePoint aNow);

// True when a long-running task that was started after the latest failure has
// stayed at work. It counts like the success of another task.
bool
HasShownToWork(const Worker& aWorker, TimePoint aNow);

// Forgets the failures of a worker that has shown that it works, and ends its
// trial.
void
ClearFailures(Worker& aWorker, TimePoint aNow);

// Ends the trial of a worker, if it is on trial.
void
EndTrial(Worker& aWorker, TimePoint aNow);

} // namespace oriolevane::jobs
