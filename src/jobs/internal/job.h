// The in-memory state of a job: its occurrences, steps, tasks and their runs.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "crashes/taskcrashes.h"
#include "footprint/jobfootprint.h"
#include "framework/types/timepoint.h"
#include "jobs/internal/stepadvice.h"
#include "jobs/types/jobrecord.h"
#include "jobs/types/orders.h"
#include "occurrences/occurrencewindow.h"
#include "progress/runprogress.h"

namespace oriolevane::jobs {

// What is known of a run that has not ended.
enum class RunPhase
{
  // The start order has been sent.
  Starting,
  // The start order was not answered, or the worker has restarted.
  Uncertain,
  // The worker has confirmed the run.
  Running
};

// What is known of a run whose worker may have crashed.
struct RunAtCrash
{
  // When the worker last answered before.
  TimePoint mLastAnswer;
  // The worker had confirmed the start.
  bool mConfirmed = false;
  // The run was in its probation, and no run of another job on the worker was.
  bool mMayBeCause = false;
};

// One execution of a task on a worker. It occupies the worker's capacity until
// its end is known.
struct Run
{
  TaskKey mTask;
  RunNumber mNumber;
  WorkerId mWorker;
  Resources mResources;
  // The team of the run's job; empty for none.
  TeamId mTeam;
  RunPhase mPhase = RunPhase::Starting;
  // Fencing token of the latest start order.
  FencingToken mToken;
  int mOrdersSent = 1;
  // Started by an earlier owner, so that the time of its start is not known.
  bool mAdopted = false;
  TimePoint mOrderedAt;
  // When the worker first confirmed the run.
  TimePoint mConfirmedAt;
  progress::RunProgress mProgress;
  bool mStopWanted = false;
  TimePoint mStopOrderedAt;
  // A stop order has been sent and not been answered yet.
  bool mStopInFlight = false;
  TimePoint mNextStopAt;
  // Since when the worker does not list the run any more, without an end.
  std::optional<TimePoint> mAbsentSince;
  // By when the run has ended on a former process of its worker; nothing unless
  // the worker has restarted since the run was ordered.
  std::optional<TimePoint> mFormerEndsBy;
  // The run does not belong to a job that this node knows.
  bool mOrphan = false;
  // The task runs until its job is cancelled.
  bool mLongRunning = false;
  // The task was suspected of crashing its workers when the run was added.
  bool mSuspected = false;
  // Nothing unless the worker has restarted since it was ordered to start the
  // run, and for a worker that was draining.
  std::optional<RunAtCrash> mInterrupted;

  bool IsUncertain() const
  {
    return mPhase == RunPhase::Uncertain || mAbsentSince.has_value();
  }
  bool IsConfirmed() const { return mConfirmedAt != TimePoint(); }
  // True unless the worker has had the run for longer than the probation.
  bool IsYoung(TimePoint aNow) const
  {
    return !IsConfirmed() || aNow - mConfirmedAt < crashes::kProbation;
  }
};

// A run is shared by its task and its worker.
using RunPointer = std::shared_ptr<Run>;

// A run whose worker's lease expired. It is not known yet whether the worker
// has crashed.
struct LostRun
{
  WorkerId mWorker;
  // The incarnation that had the run.
  WorkerIncarnation mIncarnation;
  // The crash, if the worker has crashed; nothing for a start that the worker
  // did not confirm, as it may have crashed before it.
  std::optional<crashes::Crash> mCrash;
};

// The state of one task of a step.
struct Task
{
  bool mSucceeded = false;
  // Numbers of the failed runs. They are a set because a failure may be
  // reported again to a later owner, and out of order, but must count only
  // once.
  std::set<RunNumber> mFailedRuns;
  // When the latest run on each worker failed, for failures of the last seconds
  // that this node learnt of.
  std::map<WorkerId, TimePoint> mFailedOn;
  crashes::TaskCrashes mCrashes;
  std::map<RunNumber, LostRun> mLostRuns;
  // Highest run number so far.
  RunNumber mLastRun;
  // Latest checkpoint; empty for none.
  std::string mCheckpoint;
  // Runs that have not ended. There is more than one only for a speculative
  // step or while superfluous runs are being stopped.
  std::vector<RunPointer> mRuns;

  // True when the task still has to be started.
  bool IsWaiting() const { return !mSucceeded && mRuns.empty(); }
};

// The state of one step of an occurrence.
struct Step
{
  std::vector<Task> mTasks;
  // Number of tasks that have succeeded.
  int mSucceeded = 0;
  // Numbers of the failed runs of a gang as a whole.
  std::set<RunNumber> mFailedGangRuns;
  // A run of one of the tasks had not ended when the earlier owner had already
  // stopped, so that owner has not learnt of its end.
  bool mOutlivedPredecessor = false;
  // When all steps that this one depends on had succeeded.
  std::optional<TimePoint> mReadyAt;
  // Since when tasks have been waiting to start; nothing while none is.
  std::optional<TimePoint> mWaitingSince;
  // When the first attempt since the step last started a task found no worker;
  // nothing when the last attempt started one.
  std::optional<TimePoint> mNoRoomSince;
  // When the wait is logged next, if it is too long.
  TimePoint mNextWaitReport;
  // No task is started before this time, because a worker refused a start or a
  // task waits to be isolated.
  TimePoint mNotBefore;
  StepAdvice mAdvice;
  // Run times of the tasks that have succeeded, with their workers; not for
  // gangs.
  std::vector<std::pair<WorkerId, Duration>> mRunTimes;
  // A gang may use workers that are slower than others, because it would end
  // later if it waited for faster ones.
  bool mMayUseSlowWorkers = false;
  // Generation of the fleet's capacity at which the last attempt to start tasks
  // failed.
  std::uint64_t mTriedGeneration = 0;
  // The last attempt to start a gang left slow workers out.
  bool mTriedWithoutSlow = false;

  bool IsDone() const { return mSucceeded == static_cast<int>(mTasks.size()); }
  bool HasRuns() const;
  // True when a task, or the gang as a whole, still has to be started.
  bool HasWaitingTasks(const StepSpec& aSpec) const;
};

// The state of one occurrence of a job.
struct Occurrence
{
  std::vector<Step> mSteps;
  bool mFinished = false;

  bool HasRuns() const;
  // True when an earlier owner cannot have started the step, because runs of a
  // step that it depends on had not ended when that owner stopped.
  bool HasSeenDependenciesOf(const StepSpec& aSpec) const;
};

// The internal life cycle of a job.
enum class JobPhase
{
  // The record has not been written yet, so no task may start.
  Recording,
  // Tasks may start.
  Open,
  // The final state is set; no more tasks start, and remaining runs are
  // stopped.
  Closed
};

// Times that are derived from a job's estimates and its queue's policy.
struct JobTimes
{
  // Time within which an occurrence should be done, counted from the acceptance
  // of the job or from the due time of the occurrence.
  Duration mObjective{};
  // Length of the critical path from the start of each step to the end of the
  // job.
  std::vector<Duration> mCriticalPathFrom;
};

// The state of a job.
struct Job
{
  JobRecord mRecord;
  JobPhase mPhase = JobPhase::Recording;
  // Position of the change that records the acceptance.
  RecordPosition mRecordPosition;
  TimePoint mAcceptedAt;
  JobTimes mTimes;
  // The job was taken over from another node, and its tasks may be running on
  // workers that have not reported yet.
  bool mRecovered = false;
  // At least one task has been started.
  bool mStarted = false;
  footprint::JobFootprint mFootprint;
  // The occurrences in the window that are due, by number. Earlier ones stay
  // while they have runs.
  std::map<int, Occurrence> mOccurrences;
  occurrences::OccurrenceWindow mWindow;
  // The lowest number that has not been due yet.
  int mNextOccurrence = 0;
  // Position of the latest change that records mRecord.mFinishedBefore.
  RecordPosition mWindowPosition;

  const JobId& Id() const { return mRecord.mId; }
  bool HasRuns() const;
  // The functions below return nullptr when there is no such step or task.
  Step* FindStep(int aOccurrence, int aStep);
  Task* FindTask(const TaskKey& aKey);
  // Lets the steps that found no worker be tried again at once, after a change
  // of what they need.
  void ForgetFailedAttempts();
  // Calls a function for each task of the occurrences that are due.
  void ForEachTask(
    const std::function<void(const TaskKey&, const Task&)>& aFunction) const;
};

// Creates an occurrence without any progress.
Occurrence
MakeOccurrence(const JobSpec& aSpec);

} // namespace oriolevane::jobs
