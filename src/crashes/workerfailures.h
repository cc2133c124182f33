// Remembers which workers of a cell failed lately, to tell the crash of one
// worker from a time in which workers fail anyway. A cell is calm while no
// worker fails, other than with an isolated task or for a cause that is known;
// quiet while none fails at all; and sound when few have failed in the last 30
// s.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "crashes/taskcrashes.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace oriolevane::crashes {

// Workers answer at least this often while all is well, since a long poll of a
// worker without runs takes up to 2 s.
inline constexpr std::chrono::milliseconds kMaxAnswerInterval{ 2500 };

// A worker that stopped answering, or was found to have restarted.
struct WorkerFailure
{
  WorkerId mWorker;
  // When it last answered before.
  TimePoint mLastAnswer;
  // It had a task that was started in isolation. Its failure says nothing about
  // the other workers.
  bool mIsolated = false;
};

class WorkerFailures
{
public:
  // Must be called regularly; nothing is known of the time before the first
  // call.
  void Observe(TimePoint aNow);
  // Notes a worker that does not answer. It may only have lost a message.
  void NoteSilence(const WorkerFailure& aFailure);
  // Notes a worker that has restarted.
  void NoteRestart(const WorkerFailure& aFailure);
  // Notes that a worker answers again. Its silence was no failure unless it has
  // restarted.
  void NoteReturn(const WorkerId& aWorker);

  // Notes that a task is known to have caused a failure, so that the failure
  // has no cause in common with others.
  void MarkExplained(const WorkerId& aWorker, TimePoint aLastAnswer);

  // For how long no worker has failed, without the failures whose cause is
  // known or isolated. Nothing that failed earlier can share a cause with what
  // fails now once this is kMaxAnswerInterval. Zero before the first call of
  // Observe().
  Duration CalmFor(TimePoint aNow) const;
  // For how long no worker has failed, for whatever cause.
  Duration QuietFor(TimePoint aNow) const;
  // What a crash of a worker shows about a task that was the only one to start
  // there shortly before. aWorkersOfTask are the workers that crashed under //
  // the task earlier, and aCellSize is the number of workers of the cell.
  // Nothing can be said of a crash that is longer ago than failures are
  // remembered.
  CrashEvidence EvidenceOf(const WorkerId& aWorker,
                           TimePoint aLastAnswer,
                           const std::set<WorkerId>& aWorkersOfTask,
                           std::size_t aCellSize) const;

private:
  struct Entry
  {
    WorkerFailure mFailure;
    bool mRestarted = false;
    bool mExplained = false;

    bool MayShareCause() const { return !mFailure.mIsolated && !mExplained; }
  };

  // The time since the last failure, or since the first call of Observe().
  // Leaves out those that can share no cause unless aAll.
  Duration TimeSinceFailure(TimePoint aNow, bool aAll) const;
  // Returns nullptr when the failure is not known.
  Entry* Find(const WorkerId& aWorker, TimePoint aLastAnswer);

  std::optional<TimePoint> mObservedSince;
  TimePoint mNow;
  std::vector<Entry> mEntries;
};

} // namespace oriolevane::crashes
