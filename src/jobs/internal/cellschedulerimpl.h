// The components of a scheduler and what drives them.
#pragma once

#include <deque>
#include <utility>

#include "jobs/cellscheduler.h"
#include "jobs/internal/adviceplanner.h"
#include "jobs/internal/cellstate.h"
#include "jobs/internal/crashhandler.h"
#include "jobs/internal/dispatcher.h"
#include "jobs/internal/runendhandler.h"
#include "jobs/internal/runevictor.h"
#include "jobs/internal/runtracker.h"
#include "jobs/internal/workeranswerhandler.h"

namespace oriolevane::jobs {

class CellScheduler::Impl
{
public:
  Impl(const SchedulerOptions& aOptions, SchedulerHooks aHooks)
    : mCell(aOptions, std::move(aHooks))
    , mRuns(mCell)
    , mEvictor(mCell, mRuns)
    , mRunEndHandler(mCell, mRuns)
    , mAdvice(mCell)
    , mCrashHandler(mCell, mRunEndHandler)
    , mWorkerAnswerHandler(mCell, mRuns, mRunEndHandler, mCrashHandler, mAdvice)
    , mDispatcher(mCell, mRuns, mAdvice)
  {
  }

  // Gives the jobs the policies of their queues that are in force, and closes
  // those that have ended by them.
  void ApplyPolicies(const Moment& aNow);
  // Ends the recovery once all runs that an earlier owner started are known.
  // Gangs with missing members are stopped then.
  void FinishRecovery(const Moment& aNow);
  // The minimum time between placement passes.
  Duration MinDispatchInterval() const;
  // Opens the jobs whose records have been written.
  void OpenRecordedJobs(const Moment& aNow);

  CellState mCell;
  RunTracker mRuns;
  RunEvictor mEvictor;
  RunEndHandler mRunEndHandler;
  AdvicePlanner mAdvice;
  CrashHandler mCrashHandler;
  WorkerAnswerHandler mWorkerAnswerHandler;
  Dispatcher mDispatcher;
  // Submitted jobs whose records have not been written yet, oldest first.
  std::deque<std::pair<RecordPosition, JobId>> mJobsToOpen;
  bool mRecoveryFinished = true;
  TimePoint mNextPrune;
  TimePoint mNextUpkeep;
  TimePoint mNextPollPass;
  TimePoint mLastDispatch;
};

} // namespace oriolevane::jobs
