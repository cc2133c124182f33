// Decides which running tasks are stragglers that should be stopped and started
// again on another worker.
#pragma once

#include "framework/types/timepoint.h"

namespace oriolevane::workerspeed {

// A run that may be a straggler.
struct RunTiming
{
  // How long the run has lasted.
  Duration mElapsed{};
  // How long it should take on its worker.
  Duration mExpected{};
  // How long a new run from scratch would take, and how long it takes to stop
  // this one.
  Duration mExpectedElsewhere{};
  Duration mStopTime{};
  // The run saves its progress when it is stopped.
  bool mCheckpointing = false;
};

class StragglerPolicy
{
public:
  // True when a run is far beyond its expected time and is likely to end
  // earlier on another worker.
  bool ShouldMove(const RunTiming& aRun) const;
  // Counts the end of a moved task: aHelped when the second run took about the
  // expected time. Runs are no longer moved when that does not help, because
  // the task and not the run is long then.
  void RecordOutcome(bool aHelped);

private:
  int mOutcomes = 0;
  // Share of moves that helped, smoothed.
  double mHelpedShare = 1.0;
  // Runs that could have been moved while moving did not help.
  mutable int mSkipped = 0;
};

} // namespace oriolevane::workerspeed
