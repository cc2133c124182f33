// Decides from the crashes of workers under a task whether the task is
// suspected of causing them, and whether it is given up.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace oriolevane::crashes {

// A task whose run has lasted for this long does not crash its workers, and a
// crash counts against a task only within this time from its start.
inline constexpr std::chrono::milliseconds kProbation{ 5000 };

// What the crash of a worker shows about a task that ran there.
enum class CrashEvidence
{
  // The crash may well have another cause than the task.
  Inconclusive,
  // Shortly before the crash only runs of the task's job had started on the
  // worker, and no other worker failed around that time.
  LoneCrash,
  // The same in a cell whose workers had hardly failed before.
  LoneCrashInSoundCell
};

// A crash of a worker under a run of the task.
struct Crash
{
  WorkerId mWorker;
  CrashEvidence mEvidence = CrashEvidence::Inconclusive;
  // When the worker last answered before, as far as this owner knows.
  TimePoint mLastAnswer;
  // The run was in its probation, and no run of another job was.
  bool mMayBeCause = false;
};

// The runs of one task that were lost together with their worker, since the
// last run that outlasted the probation.
class TaskCrashes
{
public:
  TaskCrashes() = default;
  // Restores the recorded crashes.
  explicit TaskCrashes(std::map<RunNumber, Crash> aCrashes)
    : mCrashes(std::move(aCrashes))
  {
  }

  // Notes a run whose worker may have crashed.
  void AddLoss(RunNumber aRun) { mLosses.insert(aRun); }
  // Removes a loss after the worker has returned without a restart.
  void RemoveLoss(RunNumber aRun) { mLosses.erase(aRun); }
  // Counts a confirmed run whose worker has crashed. Returns false when the run
  // has been counted before.
  bool AddCrash(RunNumber aRun, const Crash& aCrash);
  // Raises the evidence of a crash, after other failures have been explained.
  // Returns true when it has become more.
  bool RaiseEvidence(RunNumber aRun, CrashEvidence aEvidence);
  // Forgets everything, after a run that outlasted the probation.
  void Clear();

  // True when the task may have caused the loss of a worker.
  bool IsSuspected() const { return !mCrashes.empty() || !mLosses.empty(); }
  // True when the task should start alone on a worker next, so that a crash, or
  // its absence, shows whether the task is the cause.
  bool NeedsIsolation() const;
  // True when the task must not be started again.
  bool IsGivenUp() const;
  // True when a crash of the worker is evidence against the task. Another crash
  // there adds nothing.
  bool HasEvidenceOn(const WorkerId& aWorker) const;
  // True when the worker has crashed under the task.
  bool HasCrashed(const WorkerId& aWorker) const;
  // The workers that crashed under the task.
  std::set<WorkerId> Workers() const;
  // The confirmed runs that ended in a crash of the worker.
  const std::map<RunNumber, Crash>& Crashes() const { return mCrashes; }

private:
  // Number of workers whose crashes show at least the given evidence.
  std::size_t CountWorkers(CrashEvidence aMinimum) const;

  std::map<RunNumber, Crash> mCrashes;
  std::set<RunNumber> mLosses;
};

} // namespace oriolevane::crashes
