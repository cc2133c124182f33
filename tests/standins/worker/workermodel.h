// How an upstream worker behaves: epochs, sequences, leases on its own clock,
// tasks and kept answers. Deterministic: commands and the time go in, reports
// come out.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/resources.h"
#include "framework/types/timepoint.h"
#include "protocol/types/workermessages.h"
#include "standins/worker/taskevent.h"

namespace oriolevane::standins {

struct WorkerModelOptions
{
  WorkerId mWorker;
  Resources mCapacity;
  Incarnation mIncarnation{ 1 };
  // The worker's clock reads this at the epoch of the steady clock, so that no
  // two workers' clocks agree.
  std::chrono::milliseconds mClockOffset{ 0 };
  // Called for each start and end of a task, in order of their times.
  std::function<void(const TaskEvent&)> mOnEvent = [](const TaskEvent&) {};
};

// How a worker misbehaves within its model.
struct WorkerBehaviour
{
  // Tasks fail shortly after they start.
  bool mFailEverything = false;
  bool mRefuseStarts = false;
  bool mLeaving = false;
  // Tasks neither proceed nor end by themselves; leases still lapse.
  bool mFrozen = false;

  bool operator==(const WorkerBehaviour&) const = default;
};

// Times must not go back from one call to the next.
class WorkerModel
{
public:
  explicit WorkerModel(WorkerModelOptions aOptions);

  // Applies the command unless it is fenced, stale or meant for another
  // incarnation, and reports the whole state in any case.
  protocol::WorkerReport Handle(const protocol::WorkerCommand& aCommand,
                                TimePoint aNow);
  // Ends what is due. To be called at NextEvent or later.
  void Advance(TimePoint aNow);
  std::optional<TimePoint> NextEvent() const;
  // A report without a command, about the shard last commanded.
  protocol::WorkerReport Report(TimePoint aNow);

  void SetBehaviour(WorkerBehaviour aBehaviour, TimePoint aNow);
  const WorkerBehaviour& Behaviour() const { return mBehaviour; }
  // Comes back as another incarnation that holds nothing.
  void Restart(Incarnation aIncarnation, TimePoint aNow);

  // True when a task ended or was refused since the last call.
  bool TakeChanged();
  std::uint64_t Overcommits() const { return mOvercommits; }
  std::size_t RunningCount() const { return mRunning.size(); }
  const WorkerModelOptions& Options() const { return mOptions; }

private:
  struct Shard
  {
    Epoch mHighestEpoch;
    std::uint64_t mSequence = 0;
    TimePoint mLeaseEnd;
  };

  struct Task
  {
    protocol::StartOrder mOrder;
    ShardId mShard;
    // Empty for a service without a run time.
    std::optional<TimePoint> mRunEnd;
    bool mFails = false;
    std::string mAnswer;
  };

  using RunningTasks = std::map<protocol::TaskKey, Task>;

  bool Accepts(const protocol::WorkerCommand& aCommand,
               TimePoint aNow,
               bool& aFenced) const;
  void Apply(const protocol::StartOrder& aOrder, TimePoint aNow);
  void Apply(const protocol::StopOrder& aOrder, TimePoint aNow);
  void Apply(const protocol::ForgetOrder& aOrder, TimePoint aNow);
  Task MakeTask(const protocol::StartOrder& aOrder, TimePoint aNow) const;
  void Refuse(const protocol::StartOrder& aOrder, TimePoint aNow);
  void End(RunningTasks::iterator aTask, TaskEventKind aKind, TimePoint aTime);
  std::optional<TimePoint> EndOf(const Task& aTask) const;
  void Emit(TaskEventKind aKind,
            const protocol::StartOrder& aOrder,
            ShardId aShard,
            TimePoint aTime,
            bool aOvercommit = false);
  std::chrono::milliseconds Clock(TimePoint aNow) const;
  void ListTasks(protocol::WorkerReport& aReport) const;

  WorkerModelOptions mOptions;
  WorkerBehaviour mBehaviour;
  std::map<ShardId, Shard> mShards;
  ShardId mLastShard;
  RunningTasks mRunning;
  std::map<protocol::TaskKey, protocol::EndedTask> mEnded;
  // What is listed as running until its answer fits into a report.
  std::map<protocol::TaskKey, Resources> mEndedResources;
  std::uint64_t mReportSequence = 0;
  std::uint64_t mOvercommits = 0;
  bool mChanged = false;
};

} // namespace oriolevane::standins
