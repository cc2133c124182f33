// Decides when a run on a draining worker is stopped, so that its task starts
// again elsewhere instead of being lost when the worker leaves. Deterministic.
//
// It answers the loss of loaded workers that say at short notice that they
// leave: without it, their tasks wait until the leases are over.
#pragma once

#include "framework/types/timepoint.h"

namespace oriolevane::draining {

// What is known of a run on a draining worker.
struct RunOutlook
{
  // The task runs until its job is cancelled.
  bool mLongRunning = false;
  // The task resumes from where it was stopped.
  bool mCheckpointing = false;
  // When the run is expected to end; not used for a long-running task.
  TimePoint mExpectedEnd;
};

// True when the run should be stopped now. aLeavesAt is the earliest time at
// which the worker leaves; aMaxStopDuration is the longest time that a stop
// takes.
bool
ShouldEvict(const RunOutlook& aRun,
            TimePoint aLeavesAt,
            Duration aMaxStopDuration,
            TimePoint aNow);

} // namespace oriolevane::draining
