// Predicts when a run ends from the progress that its worker reports.
// Deterministic.
//
// What callers declare about the duration of their tasks is often wrong by a
// factor of two and more; the progress of a run shows it.
#pragma once

#include <optional>

#include "framework/types/timepoint.h"

namespace oriolevane::progress {

class RunProgress
{
public:
  // A run that resumes from a checkpoint, or of which the start is not known.
  RunProgress() = default;
  // A run that starts from the beginning.
  explicit RunProgress(TimePoint aStart)
    : mFirst(Reading{ .mPercent = 0, .mAt = aStart })
    , mLast(*mFirst)
  {
  }

  // Takes the progress in percent from a report of the worker.
  void Report(int aPercent, TimePoint aNow);
  // The time at which the run ends if it goes on as fast as until now; nothing
  // until enough progress has been reported.
  std::optional<TimePoint> ExpectedEnd() const;

private:
  struct Reading
  {
    int mPercent = 0;
    TimePoint mAt;
  };

  // The last reading before the progress began to rise.
  std::optional<Reading> mFirst;
  // The latest reading with a higher percentage than the one before.
  Reading mLast;
};

} // namespace oriolevane::progress
