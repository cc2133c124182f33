// Randomized fault injection test of the placer. A seeded simulation of fake
// workers, a faulty network, a coordinator and a placer that is replaced now
// and then; the invariants are checked after each step.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "placement/placer.h"
#include "placement/tests/fakeworker.h"

namespace oriolevane::placement {

struct ChaosOptions
{
  std::uint64_t mSeed = 1;
  int mWorkerCount = 8;
  int mTaskCount = 150;
  // Probabilities in thousandths: of each message for loss and duplication, of
  // each step (for each worker or task) for the others. A cancellation is drawn
  // only once in ten hits of mCancelPerMille.
  int mLossPerMille = 60;
  int mDuplicationPerMille = 60;
  int mRestartWorkerPerMille = 4;
  int mSilenceWorkerPerMille = 8;
  int mReplacePlacerPerMille = 6;
  int mCancelPerMille = 20;
};

class ChaosSimulation
{
public:
  explicit ChaosSimulation(const ChaosOptions& aOptions);

  // Runs steps of 100 ms, first with and then without faults. Returns the first
  // violated invariant with its seed and step, or an empty string.
  std::string Run(int aFaultySteps, int aFaultFreeSteps);
  // Hash over the placer's states after all steps; equal for equal seeds.
  std::uint64_t HistoryHash() const { return mHistoryHash; }
  // Number of tasks that succeeded, or reached any final state after a
  // cancellation.
  int FinishedCount() const;

private:
  struct Delivery
  {
    std::function<void()> mDeliver;
  };
  struct Task
  {
    RequestId mRequest;
    std::uint32_t mAttempt = 1;
    // Epoch of the shard's owner when this attempt was first sent.
    Epoch mShardEpoch;
    TimePoint mSubmitAt;
    TimePoint mNextSendAt;
    bool mCancelled = false;
    bool mDone = false;
    Resources mPerTask;
  };
  struct Host
  {
    FakeWorker mWorker;
    // Speed of the worker's clock relative to the placer's.
    double mClockRate = 1.0;
    // Commands to the worker are lost until this time.
    TimePoint mUnreachableUntil;
  };

  // Draws with this probability; false in the steps without faults.
  bool Chance(int aPerMille);
  // Delivers a message after a random delay; it may be lost or duplicated.
  void Send(const std::function<void()>& aDeliver);
  void RunStep();
  void AdvanceWorkers();
  void InjectFaults();
  void ReplacePlacer();
  void SendDueTasks();
  void SendTask(Task& aTask);
  void HandleEvent(const PlacerEvent& aEvent);
  void ExecuteActions(const std::vector<PlacerAction>& aActions, Epoch aEpoch);
  void DeliverCommand(const protocol::WorkerCommand& aCommand);
  void HandleUpdate(const protocol::TaskUpdate& aUpdate);
  void CheckUpdate(const protocol::TaskUpdate& aUpdate);
  void CheckWorkers();
  void Expect(bool aHolds, const std::string& aWhat);
  protocol::Route Route() const;

  ChaosOptions mOptions;
  std::mt19937_64 mRandom;
  TimePoint mNow{ std::chrono::hours{ 1 } };
  std::vector<Host> mHosts;
  std::vector<Task> mTasks;
  std::unique_ptr<Placer> mPlacer;
  // Earlier placers of the shard. They handle a tick now and then and send
  // commands under their old epoch, as a process does that was paused during a
  // takeover.
  std::vector<std::unique_ptr<Placer>> mReplacedPlacers;
  Epoch mEpoch;
  std::multimap<TimePoint, Delivery> mNetwork;
  std::set<protocol::TaskKey> mStarted;
  std::set<protocol::TaskKey> mSucceeded;
  // Tasks that the placer reported as not started or lost. They must not start
  // afterwards.
  std::set<protocol::TaskKey> mReportedNotRunning;
  bool mFaultsEnabled = true;
  // The first violated invariant.
  std::string mViolation;
  std::uint64_t mHistoryHash = 0;
};

} // namespace oriolevane::placement
