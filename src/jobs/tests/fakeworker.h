// A worker as its protocol describes it, in simulated time.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jobs/types/orders.h"

namespace oriolevane::jobs {

using Millis = std::chrono::milliseconds;

// How a run goes that nothing disturbs.
struct RunPlan
{
  Millis mDuration{ 100 };
  bool mFails = false;
  // It saves its progress when it is stopped.
  bool mSaves = false;
  Millis mStopTakes{ 60 };
};

struct FakeRun
{
  TaskKey mTask;
  RunNumber mRun;
  Resources mResources;
  Millis mStartedAt{ 0 };
  // Done by earlier runs.
  Millis mSaved{ 0 };
  RunPlan mPlan;
  bool mStopping = false;
  Millis mStoppedAt{ 0 };
};

struct FakeWorkerHooks
{
  std::function<RunPlan(const TaskKey&, RunNumber, const WorkerId&)> mPlan;
  std::function<Resources(const TaskKey&)> mResources;
  // Members of the task's gang; 1 for a task of its own.
  std::function<int(const TaskKey&)> mGangSize;
  // Members of the run that are at work on all workers.
  std::function<int(const FakeRun&)> mGangPresent;
  std::function<void(const FakeRun&)> mOnStart;
  std::function<void(const FakeRun&, EndKind)> mOnEnd;
  std::function<void(const EndedTask&)> mOnConfirmed;
};

// Times are of the simulation; the worker's clock has an offset from it.
class FakeWorker
{
public:
  FakeWorker(WorkerEntry aEntry, Millis aClockOffset, FakeWorkerHooks aHooks);

  const WorkerEntry& Entry() const { return mEntry; }
  const std::vector<FakeRun>& Runs() const { return mRuns; }
  bool IsUp() const { return mUp; }
  // Some order or poll of its life has reached it.
  bool IsFenced() const { return mTokenSeen != FencingToken(); }
  Resources Used() const;
  // The worker's clock at a time of the simulation.
  Millis Clock(Millis aNow) const { return aNow + mClockOffset; }

  // Ends what is due by then.
  void AdvanceTo(Millis aNow);
  OrderAnswer Start(const StartOrder& aOrder, Millis aNow);
  OrderAnswer Stop(const StopOrder& aOrder, Millis aNow);
  PollAnswer Poll(const PollOrder& aOrder, Millis aNow);
  // All runs are gone without an end.
  void Crash();
  // Starts anew under the same id.
  void Restart(WorkerLife aLife, Millis aNow);
  void Drain() { mEntry.mDraining = true; }
  // Another member of the run has ended.
  void EndGang(const TaskKey& aTask,
               RunNumber aRun,
               EndKind aKind,
               Millis aNow);

private:
  void End(std::size_t aPlace, EndKind aKind);
  bool IsDone(const FakeRun& aRun, Millis aNow) const;

  WorkerEntry mEntry;
  Millis mClockOffset;
  FakeWorkerHooks mHooks;
  bool mUp = true;
  FencingToken mTokenSeen;
  // On the worker's clock.
  Millis mLeaseEnd{ 0 };
  std::vector<FakeRun> mRuns;
  std::vector<EndedTask> mEnded;
  std::uint64_t mLastSerial = 0;
  std::map<TaskKey, RunNumber> mHighestEnded;
};

using FakeWorkers = std::vector<std::unique_ptr<FakeWorker>>;

// Members of the run's gang that are at work on any of the workers.
int
CountMembers(const FakeWorkers& aWorkers, const FakeRun& aRun);

// Ends the other members of a gang after aRun has ended: with success if it
// succeeded, else as broken.
void
EndOtherMembers(const FakeWorkers& aWorkers,
                const FakeRun& aRun,
                int aMembers,
                EndKind aKind,
                Millis aNow);

} // namespace oriolevane::jobs
