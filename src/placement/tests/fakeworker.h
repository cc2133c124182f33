// A worker as the placer's messages describe it, for tests.
#pragma once

#include <chrono>
#include <map>
#include <optional>

#include "protocol/types/workermessages.h"

namespace oriolevane::placement {

// Keeps epochs, sequences and leases by the rules of the contract; says in
// advance how its tasks will end.
class FakeWorker
{
public:
  struct Held
  {
    protocol::StartOrder mOrder;
    std::chrono::milliseconds mEndsAt{ 0 };
    bool mWillFail = false;
  };

  explicit FakeWorker(protocol::WorkerInfo aInfo);

  // Applies the command, or refuses it by epoch, sequence or incarnation, and
  // reports.
  protocol::WorkerReport Apply(const protocol::WorkerCommand& aCommand,
                               std::chrono::milliseconds aRunTime,
                               bool aWillFail);
  protocol::WorkerReport Report();
  // Moves its clock: ends tasks, and stops all when their lease has lapsed.
  void Advance(std::chrono::milliseconds aStep);
  // All it held is gone.
  void Restart();
  const protocol::WorkerInfo& Info() const { return mInfo; }
  const std::map<protocol::TaskKey, Held>& Running() const { return mRunning; }
  Resources Used() const;
  void Leave() { mLeaving = true; }

private:
  bool Accepts(const protocol::WorkerCommand& aCommand) const;
  void Start(const protocol::StartOrder& aOrder,
             std::chrono::milliseconds aRunTime,
             bool aWillFail);
  void End(const protocol::TaskKey& aKey, bool aStopped);

  protocol::WorkerInfo mInfo;
  std::chrono::milliseconds mClock{ 1'000'000 };
  std::chrono::milliseconds mLeaseEnd{ 0 };
  Incarnation mIncarnation{ 1 };
  ShardId mShard;
  Epoch mHighestEpoch;
  std::uint64_t mApplied = 0;
  std::uint64_t mReports = 0;
  bool mLeaving = false;
  std::map<protocol::TaskKey, Held> mRunning;
  std::map<protocol::TaskKey, protocol::EndedTask> mEnded;
};

} // namespace oriolevane::placement
