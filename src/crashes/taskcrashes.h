// Decides from the crashes of workers under a task whether the task is
// suspected of causing them, and whether it is given up.
#pragma once

#include <set>
#include <utility>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace oriolevane::crashes {

// What is known of the cause of a crash, for one of the runs on the worker.
enum class CrashEvidence
{
  // Only the run's own job can have caused it.
  OneJob,
  // Other jobs had runs on the worker, or another worker without runs of the
  // job failed at the same time.
  SeveralJobs,
  // The worker did not confirm the start, and may have crashed before it.
  UnconfirmedStart
};

// True when two workers that last answered at these times may have failed for a
// common reason, such as the loss of their rack.
bool
MayHaveFailedTogether(TimePoint aLastAnswer, TimePoint aOtherLastAnswer);

// The runs of one task that were lost together with their worker.
class TaskCrashes
{
public:
  TaskCrashes() = default;
  // Restores the recorded crashes.
  explicit TaskCrashes(std::set<RunNumber> aRuns)
    : mRuns(std::move(aRuns))
  {
  }

  // Notes a run whose worker is unreachable and may have crashed.
  void AddLoss(RunNumber aRun) { mLosses.insert(aRun); }
  // Removes a loss after the worker has returned without a restart.
  void RemoveLoss(RunNumber aRun) { mLosses.erase(aRun); }
  // Counts a run whose worker has crashed. Returns false when the run has been
  // counted before. Unconfirmed starts count less.
  bool AddCrash(RunNumber aRun, CrashEvidence aEvidence);

  // True when the task may have caused the loss of a worker.
  bool IsSuspected() const
  {
    return !mRuns.empty() || !mUnconfirmedRuns.empty() || !mLosses.empty();
  }
  // True when the task must not be started again.
  bool IsGivenUp() const;
  // The confirmed runs that ended in a crash of the worker.
  const std::set<RunNumber>& Runs() const { return mRuns; }

private:
  std::set<RunNumber> mRuns;
  std::set<RunNumber> mUnconfirmedRuns;
  std::set<RunNumber> mLosses;
  // Only the task's own job can have caused a crash after the first one.
  bool mCrashedAgainAlone = false;
};

} // namespace oriolevane::crashes
