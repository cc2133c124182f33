// A placer with workers that answer at once, in virtual time.
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

// How one attempt goes once it is started.
struct Course
{
  std::chrono::milliseconds mRunTime{ 0 };
  bool mFails = false;
};

// Settable behaviour and observers; all optional but mCourse.
struct CellHooks
{
  std::function<Course(const protocol::TaskKey&, const WorkerId&)> mCourse;
  std::function<void(const protocol::TaskKey&, TimePoint)> mStarted;
  std::function<void(const protocol::TaskUpdate&, TimePoint)> mEnded;
};

class VirtualCell
{
public:
  VirtualCell(const placement::PlacerOptions& aOptions,
              const std::vector<protocol::WorkerInfo>& aWorkers,
              const policy::CellPolicy& aPolicy,
              CellHooks aHooks);

  // Gives the event to the placer and carries out its actions, and what
  // follows from them. Returns the seconds that the first call took.
  double Give(const placement::PlacerEvent& aEvent);
  // Moves time, ending tasks and ticking every 100 ms.
  void AdvanceTo(TimePoint aTime);
  // Ends the running task that would end next, at once.
  void EndNext();
  TimePoint Now() const { return mNow; }
  std::size_t Running() const { return mEnds.size(); }
  placement::Placer& Core() { return mPlacer; }
  // What is running on each worker, in the order of the list.
  const std::vector<Resources>& Used() const { return mUsed; }

private:
  struct End
  {
    TimePoint mAt;
    std::uint64_t mNumber = 0;
    std::size_t mWorker = 0;
    protocol::EndedTask mTask;

    bool operator<(const End& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mNumber > aOther.mNumber;
    }
  };
  struct Host
  {
    WorkerId mName;
    std::uint64_t mReports = 0;
    std::uint64_t mApplied = 0;
    std::map<protocol::TaskKey, protocol::RunningTask> mRunning;
    std::map<protocol::TaskKey, protocol::EndedTask> mEnded;
  };

  void Carry(const std::vector<placement::PlacerAction>& aActions);
  void Drain();
  void Apply(const protocol::WorkerCommand& aCommand);
  void Start(std::size_t aWorker, const protocol::StartOrder& aOrder);
  void Stop(std::size_t aWorker, const protocol::TaskKey& aKey);
  void FinishOne();
  protocol::WorkerReport Report(Host& aHost);

  placement::PlacerOptions mOptions;
  CellHooks mHooks;
  placement::Placer mPlacer;
  std::vector<Host> mHosts;
  std::vector<Resources> mUsed;
  std::unordered_map<WorkerId, std::size_t> mByName;
  std::priority_queue<End> mEnds;
  std::vector<placement::PlacerEvent> mPending;
  TimePoint mNow{ std::chrono::hours{ 1 } };
  TimePoint mNextTick;
  std::uint64_t mNumber = 0;
};

} // namespace oriolevane::bench
