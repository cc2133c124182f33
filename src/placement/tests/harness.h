// A placer with fake workers that obey at once, for tests of single decisions.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "placement/placer.h"
#include "placement/tests/fakeworker.h"

namespace oriolevane::placement {

constexpr Resources kTestWorker{ .mMilliCores = 8'000,
                                 .mMemoryMiB = 32'768,
                                 .mAccelerators = 2,
                                 .mSlots = 8 };

PlacerOptions
TestOptions();

// Rack and zone follow from the number: six workers to a rack, two racks to a
// zone.
protocol::WorkerInfo
TestWorker(int aNumber, const Resources& aCapacity = kTestWorker);

// One task of one core and 1 GiB unless changed.
protocol::PlaceTasks
TestOrder(const std::string& aRequest, std::uint32_t aTasks = 1);

class Harness
{
public:
  explicit Harness(int aWorkers,
                   const PlacerOptions& aOptions = TestOptions(),
                   const Resources& aCapacity = kTestWorker);

  // Gives the event to the placer, and its commands to the workers until none
  // is left. Commands to muted workers are lost.
  void Give(const PlacerEvent& aEvent);
  // Moves all clocks in steps of 100 ms with a tick each; muted workers stay
  // silent but their clocks move.
  void Pass(std::chrono::milliseconds aTime);
  void SetPolicy(const policy::CellPolicy& aPolicy);
  void Acknowledge(const protocol::TaskKey& aKey);
  // The latest update of a task; none gives nullptr.
  const protocol::TaskUpdate* Update(const std::string& aRequest,
                                     std::uint32_t aIndex = 0,
                                     std::uint32_t aAttempt = 1) const;
  protocol::TaskState State(const std::string& aRequest,
                            std::uint32_t aIndex = 0,
                            std::uint32_t aAttempt = 1) const;
  protocol::TaskEndReason Reason(const std::string& aRequest,
                                 std::uint32_t aIndex = 0,
                                 std::uint32_t aAttempt = 1) const;
  // Tasks that run on all workers.
  std::size_t RunningCount() const;
  // How many tasks of the request were started by any worker, ever.
  int Starts(const std::string& aRequest) const;
  FakeWorker& Worker(std::size_t aNumber) { return mWorkers[aNumber]; }

  std::unique_ptr<Placer> mPlacer;
  TimePoint mNow{ std::chrono::hours{ 1 } };
  std::chrono::milliseconds mRunTime{ 60'000 };
  // Workers whose tasks all fail.
  std::vector<bool> mFailing;
  std::vector<bool> mMuted;
  std::vector<protocol::TaskUpdate> mUpdates;
  std::vector<protocol::TasksHeld> mHeld;
  std::vector<protocol::ReconcileAnswer> mAnswers;
  std::vector<protocol::WorkerCommand> mCommands;

private:
  void Carry(const std::vector<PlacerAction>& aActions,
             std::vector<protocol::WorkerReport>& aReports);

  std::vector<FakeWorker> mWorkers;
  std::map<RequestId, int> mStarts;
};

} // namespace oriolevane::placement
