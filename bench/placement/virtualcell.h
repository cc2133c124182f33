// A placer and workers that respond immediately, in virtual time.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <unordered_map>
#include <vector>

#include "placement/placer.h"

namespace oriolevane::bench {

// Run time and result of one attempt.
struct TaskOutcome
{
  std::chrono::milliseconds mRunTime{ 0 };
  bool mFails = false;
};

// Callbacks of the simulation. Only mChooseOutcome is required.
struct CellHooks
{
  std::function<TaskOutcome(const protocol::TaskKey&, const WorkerId&)>
    mChooseOutcome;
  std::function<void(const protocol::TaskKey&, TimePoint)> mOnStarted;
  std::function<void(const protocol::TaskUpdate&, TimePoint)> mOnEnded;
};

// Simulates one worker shard: passes commands and reports between the placer
// and the workers and acknowledges final updates.
class VirtualCell
{
public:
  VirtualCell(const placement::PlacerOptions& aOptions,
              const std::vector<protocol::WorkerInfo>& aWorkers,
              const policy::CellPolicy& aPolicy,
              CellHooks aHooks);

  // Passes the event to the placer, executes the resulting actions and handles
  // the events that follow from them. Returns the duration of the placer's
  // handling of aEvent itself, in seconds of real time.
  double HandleEvent(const placement::PlacerEvent& aEvent);
  // Advances virtual time to aTime. Ends the tasks that are due and sends a
  // tick every 100 ms.
  void AdvanceTo(TimePoint aTime);
  // Ends the task with the earliest scheduled end now. Nothing happens if that
  // task was stopped.
  void FinishNextTask();
  TimePoint Now() const { return mNow; }
  // Number of scheduled task ends. Tasks that were stopped count until their
  // end is due.
  std::size_t ScheduledEndCount() const { return mScheduledEnds.size(); }
  placement::Placer& PlacerUnderTest() { return mPlacer; }
  // Resources of the running tasks on each worker, in the order of the list.
  const std::vector<Resources>& UsedResources() const { return mUsed; }

private:
  struct ScheduledEnd
  {
    TimePoint mAt;
    // Order of the starts, which decides between equal times.
    std::uint64_t mNumber = 0;
    std::size_t mWorker = 0;
    protocol::EndedTask mEndedTask;

    bool operator<(const ScheduledEnd& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mNumber > aOther.mNumber;
    }
  };
  struct Host
  {
    WorkerId mWorkerId;
    std::uint64_t mReportSequence = 0;
    std::uint64_t mLastCommandSequence = 0;
    std::map<protocol::TaskKey, protocol::RunningTask> mRunning;
    std::map<protocol::TaskKey, protocol::EndedTask> mEnded;
  };

  void ExecuteActions(const std::vector<placement::PlacerAction>& aActions);
  void HandlePendingEvents();
  void Apply(const protocol::WorkerCommand& aCommand);
  void StartTask(std::size_t aWorker, const protocol::StartOrder& aOrder);
  void StopTask(std::size_t aWorker, const protocol::TaskKey& aKey);
  void HandleEarliestEnd();
  protocol::WorkerReport MakeReport(Host& aHost);

  placement::PlacerOptions mOptions;
  CellHooks mHooks;
  placement::Placer mPlacer;
  std::vector<Host> mHosts;
  std::vector<Resources> mUsed;
  std::unordered_map<WorkerId, std::size_t> mHostIndexes;
  std::priority_queue<ScheduledEnd> mScheduledEnds;
  std::vector<placement::PlacerEvent> mPending;
  TimePoint mNow{ std::chrono::hours{ 1 } };
  TimePoint mNextTick;
  std::uint64_t mNumber = 0;
};

} // namespace oriolevane::bench
