// In-memory worker that processes the placer's commands, for tests.
#pragma once

#include <chrono>
#include <map>
#include <optional>

#include "protocol/types/workermessages.h"

namespace oriolevane::placement {

// Follows the worker protocol: it rejects commands with an old epoch or
// sequence and stops its tasks when their lease expires. The run time and the
// result of a task are fixed when the task starts.
class FakeWorker
{
public:
  struct Execution
  {
    protocol::StartOrder mOrder;
    std::chrono::milliseconds mEndsAt{ 0 };
    bool mWillFail = false;
  };

  explicit FakeWorker(protocol::WorkerInfo aInfo);

  // Applies the command unless its epoch, sequence or incarnation is out of
  // date. Returns a report of the state afterwards in both cases. Tasks that
  // the command starts end after aRunTime, as failed if aWillFail is set.
  protocol::WorkerReport Apply(const protocol::WorkerCommand& aCommand,
                               std::chrono::milliseconds aRunTime,
                               bool aWillFail);
  // Returns a report with the next report sequence.
  protocol::WorkerReport Report();
  // Advances the worker's clock. Ends the tasks whose run time is over and,
  // once the lease has expired, stops all others.
  void Advance(std::chrono::milliseconds aStep);
  // Restarts the worker under the next incarnation, without tasks, lease or
  // known epoch.
  void Restart();
  const protocol::WorkerInfo& Info() const { return mInfo; }
  const std::map<protocol::TaskKey, Execution>& Running() const
  {
    return mRunning;
  }
  // Returns the sum of the resources of all running tasks.
  Resources UsedResources() const;
  // Marks the worker as leaving in all further reports.
  void AnnounceLeaving() { mLeaving = true; }

private:
  bool Accepts(const protocol::WorkerCommand& aCommand) const;
  void StartTask(const protocol::StartOrder& aOrder,
                 std::chrono::milliseconds aRunTime,
                 bool aWillFail);
  void EndTask(const protocol::TaskKey& aKey, bool aStopped);

  protocol::WorkerInfo mInfo;
  std::chrono::milliseconds mClock{ 1'000'000 };
  std::chrono::milliseconds mLeaseEnd{ 0 };
  Incarnation mIncarnation{ 1 };
  ShardId mShard;
  Epoch mHighestEpoch;
  std::uint64_t mLastCommandSequence = 0;
  std::uint64_t mReportSequence = 0;
  bool mLeaving = false;
  std::map<protocol::TaskKey, Execution> mRunning;
  std::map<protocol::TaskKey, protocol::EndedTask> mEnded;
};

} // namespace oriolevane::placement
