// Test harness: a placer and fake workers that execute its commands
// immediately. Used to test single decisions of the placer.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "placement/placer.h"
#include "placement/tests/fakeworker.h"

namespace oriolevane::placement {

constexpr Resources kTestWorkerCapacity{ .mMilliCores = 8'000,
                                         .mMemoryMiB = 32'768,
                                         .mAccelerators = 2,
                                         .mSlots = 8 };

// Options of a placer that owns shard 3 under epoch 1.
PlacerOptions
MakePlacerOptions();

// Worker "w-<aNumber>". There are six workers in a rack and two racks in an
// availability zone, in the order of the numbers.
protocol::WorkerInfo
MakeWorkerInfo(int aNumber, const Resources& aCapacity = kTestWorkerCapacity);

// Request for aTasks tasks, each with one core, 1 GiB of memory and one slot.
protocol::PlaceTasks
MakePlaceTasks(const std::string& aRequest, std::uint32_t aTasks = 1);

class Harness
{
public:
  explicit Harness(int aWorkers,
                   const PlacerOptions& aOptions = MakePlacerOptions(),
                   const Resources& aCapacity = kTestWorkerCapacity);

  // Passes the event to the placer, its commands to the workers and their
  // reports back, until no command is left. Commands to unreachable workers are
  // lost.
  void HandleEvent(const PlacerEvent& aEvent);
  // Advances all clocks in steps of 100 ms and sends a tick at each step.
  // Unreachable workers send no reports, but their clocks advance too.
  void AdvanceTime(std::chrono::milliseconds aTime);
  void SetPolicy(const policy::CellPolicy& aPolicy);
  // Acknowledges the final update of a task as its coordinator does.
  void Acknowledge(const protocol::TaskKey& aKey);
  // The latest update of a task, or nullptr if there was none.
  const protocol::TaskUpdate* LatestUpdate(const std::string& aRequest,
                                           std::uint32_t aIndex = 0,
                                           std::uint32_t aAttempt = 1) const;
  // State of the latest update, Queued if there was none.
  protocol::TaskState State(const std::string& aRequest,
                            std::uint32_t aIndex = 0,
                            std::uint32_t aAttempt = 1) const;
  // End reason of the latest update, None if there was none.
  protocol::TaskEndReason Reason(const std::string& aRequest,
                                 std::uint32_t aIndex = 0,
                                 std::uint32_t aAttempt = 1) const;
  // Number of tasks that run now, summed over all workers.
  std::size_t RunningCount() const;
  // Number of task starts of the request on all workers since the beginning.
  int StartCount(const std::string& aRequest) const;
  FakeWorker& Worker(std::size_t aNumber) { return mWorkers[aNumber]; }

  std::unique_ptr<Placer> mPlacer;
  TimePoint mNow{ std::chrono::hours{ 1 } };
  // Run time of tasks that are started from now on.
  std::chrono::milliseconds mTaskRunTime{ 60'000 };
  // By worker number: all tasks that start on this worker fail.
  std::vector<bool> mFailing;
  // By worker number: the worker receives no commands and sends no reports.
  std::vector<bool> mUnreachable;
  // Everything that the placer sent so far, by type, oldest first.
  std::vector<protocol::TaskUpdate> mUpdates;
  std::vector<protocol::TasksHeld> mHolds;
  std::vector<protocol::ReconcileAnswer> mReconcileAnswers;
  std::vector<protocol::WorkerCommand> mCommands;

private:
  void ExecuteActions(const std::vector<PlacerAction>& aActions,
                      std::vector<protocol::WorkerReport>& aReports);

  std::vector<FakeWorker> mWorkers;
  std::map<RequestId, int> mStarts;
};

} // namespace oriolevane::placement
