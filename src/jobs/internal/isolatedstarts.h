// Starts tasks that workers crashed under apart from other jobs. A crash then
// shows its cause, and no other job is lost with it.
#pragma once

#include <map>

#include "crashes/workerfailures.h"
#include "jobs/internal/worker.h"
#include "jobs/types/isolationwaits.h"

namespace oriolevane::jobs {

// Where a task may start.
enum class StartRule
{
  Anywhere,
  // Where no other job has just started.
  Apart,
  // The same, and no other job joins it there for a while.
  Isolated,
  // Nowhere, as a crash would show nothing now.
  Nowhere
};

class IsolatedStarts
{
public:
  explicit IsolatedStarts(const crashes::WorkerFailures& aFailures)
    : mFailures(aFailures)
  {
  }

  // Begins a placement pass in a cell of so many workers.
  void BeginPass(std::size_t aWorkers, TimePoint aNow);
  // The rule for the next start of a task of the step. The task may be
  // innocent, so that it starts anywhere after it has waited for some time.
  StartRule RuleFor(const StepKey& aStep,
                    const StepSpec& aSpec,
                    const Task& aTask);
  // True unless tasks of other jobs are kept off the worker.
  bool Allows(const JobId& aJob, const WorkerId& aWorker) const;
  // True when the task may start on the worker by its rule.
  bool Suits(StartRule aRule,
             const JobId& aJob,
             const Task& aTask,
             const Worker& aWorker) const;
  // Keeps the tasks of other jobs off a worker until it suits. One worker at a
  // time is held for a job.
  void Hold(const JobId& aJob, const WorkerId& aWorker);
  // Notes that a task is about to start on the worker.
  void OnStarting(const StepKey& aKey,
                  const Step& aStep,
                  const Task& aTask,
                  const Worker& aWorker);
  // Notes that a run of the job has ended on the worker.
  void OnRunEnded(const JobId& aJob, const Worker& aWorker);
  // Notes that a worker does not answer. Another job may be isolated meanwhile.
  void OnUnreachable(const WorkerId& aWorker);
  // Notes that the worker has restarted.
  void OnRestarted(const WorkerId& aWorker) { mIsolations.erase(aWorker); }
  // True when a suspected task has been started on the worker apart from other
  // jobs, none has joined it, and its probation is not over.
  bool IsIsolated(const WorkerId& aWorker) const;
  // The steps that waited after the last pass.
  IsolationWaits Waits() const;

private:
  // A worker with, or held for, a suspected task of one job.
  struct Isolation
  {
    JobId mJob;
    // The task has been started.
    bool mStarted = false;
    // Tasks of other jobs may not start there. Otherwise they end the
    // isolation.
    bool mExclusive = true;
    // The worker has not answered since.
    bool mUnreachable = false;
    TimePoint mUntil;
  };

  struct Wait
  {
    TimePoint mSince;
    TimePoint mSeenAt;
  };

  // How long a task waits before it starts anywhere.
  std::chrono::milliseconds MaxWait(const StepSpec& aSpec,
                                    const Task& aTask) const;
  // True when a crash of an isolated worker would show its cause now.
  bool IsGoodTime(const Task& aTask) const;
  // True when the worker is kept for the job.
  bool IsIsolatedFor(const JobId& aJob, const WorkerId& aWorker) const;
  // True when one more worker may be kept for the job.
  bool MayIsolate(const JobId& aJob) const;
  // How many workers may have an isolated task.
  std::size_t MaxIsolations() const;
  // How many jobs may keep workers for themselves.
  std::size_t MaxExclusions() const;
  // Returns false when no more workers may have an isolated task. An exclusive
  // one ends the isolation of another that is not.
  bool MakeRoom(bool aExclusive);
  // Logs an isolated start, and frees the workers that were held for the job.
  void ReportIsolation(const StepKey& aKey,
                       const Step& aStep,
                       const WorkerId& aWorker);

  const crashes::WorkerFailures& mFailures;
  std::map<WorkerId, Isolation> mIsolations;
  std::map<StepKey, Wait> mWaits;
  // As of the present pass.
  std::size_t mWorkers = 0;
  TimePoint mNow;
  Duration mCalmFor{};
  Duration mQuietFor{};
  // One more worker may be kept for the job of the last RuleFor().
  bool mMayIsolate = false;
};

} // namespace oriolevane::jobs
