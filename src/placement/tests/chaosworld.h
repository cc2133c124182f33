// A seeded world of fake workers, a faulty network, a coordinator and placers
// that are replaced, which checks after each step what must always hold.
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
  int mWorkers = 8;
  int mTasks = 150;
  // Chances in thousandths, of each message or each step.
  int mLost = 60;
  int mDoubled = 60;
  int mRestartWorker = 4;
  int mMuteWorker = 8;
  int mReplacePlacer = 6;
  int mCancel = 20;
};

class ChaosWorld
{
public:
  explicit ChaosWorld(const ChaosOptions& aOptions);

  // Empty when all held; else what did not, with the step.
  std::string Run(int aFaultySteps, int aHealedSteps);
  // Of all states passed through; equal for equal seeds.
  std::uint64_t History() const { return mHistory; }
  int Finished() const;

private:
  struct Delivery
  {
    std::function<void()> mDeliver;
  };
  struct Task
  {
    RequestId mRequest;
    std::uint32_t mAttempt = 1;
    Epoch mSentUnder;
    TimePoint mSubmitAt;
    TimePoint mNextSend;
    bool mCancelled = false;
    bool mDone = false;
    Resources mNeed;
  };
  struct Host
  {
    FakeWorker mWorker;
    double mRate = 1.0;
    TimePoint mMutedUntil;
  };

  bool Chance(int aPerMille);
  void Send(const std::function<void()>& aDeliver);
  void Step();
  void MoveWorkers();
  void BreakThings();
  void ReplacePlacer();
  void MoveTasks();
  void SendTask(Task& aTask);
  void Give(const PlacerEvent& aEvent);
  void Carry(const std::vector<PlacerAction>& aActions, Epoch aEpoch);
  void CarryCommand(const protocol::WorkerCommand& aCommand);
  void TakeUpdate(const protocol::TaskUpdate& aUpdate);
  void CheckTruth(const protocol::TaskUpdate& aUpdate);
  void CheckWorkers();
  void Expect(bool aHolds, const std::string& aWhat);
  protocol::Route Route() const;

  ChaosOptions mOptions;
  std::mt19937_64 mRandom;
  TimePoint mNow{ std::chrono::hours{ 1 } };
  std::vector<Host> mHosts;
  std::vector<Task> mTasks;
  std::unique_ptr<Placer> mPlacer;
  // Replaced ones that wake up now and then.
  std::vector<std::unique_ptr<Placer>> mZombies;
  Epoch mEpoch;
  std::multimap<TimePoint, Delivery> mNetwork;
  std::set<protocol::TaskKey> mStarted;
  std::set<protocol::TaskKey> mSucceeded;
  // Told as final, not started or lost.
  std::set<protocol::TaskKey> mGivenUp;
  bool mFaulty = true;
  std::string mBroken;
  std::uint64_t mHistory = 0;
};

} // namespace oriolevane::placement
