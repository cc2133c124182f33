#include "placement/tests/harness.h"

#include <stdexcept>
#include <utility>

#include <fmt/format.h>

namespace oriolevane::placement {

namespace {

constexpr std::chrono::milliseconds kTimeStep{ 100 };

} // namespace

PlacerOptions
MakePlacerOptions()
{
  return { .mShard = ShardId{ 3 },
           .mEpoch = Epoch{ 1 },
           .mOwner = NodeId{ "node-1" } };
}

protocol::WorkerInfo
MakeWorkerInfo(int aNumber, const Resources& aCapacity)
{
  return { .mWorker = WorkerId{ fmt::format("w-{}", aNumber) },
           .mZone = ZoneId{ fmt::format("zone-{}", aNumber / 12) },
           .mRack = RackId{ fmt::format("rack-{}", aNumber / 6) },
           .mCapacity = aCapacity,
           .mAddress = "127.0.0.1:1" };
}

protocol::PlaceTasks
MakePlaceTasks(const std::string& aRequest, std::uint32_t aTasks)
{
  protocol::PlaceTasks placeTasks{
    .mRoute = { .mPartition = PartitionId{ 5 },
                .mShard = ShardId{ 3 },
                .mSenderEpoch = Epoch{ 1 } },
    .mRequest = RequestId{ aRequest },
    .mShardEpoch = Epoch{ 1 },
    .mTeam = TeamId{ "crews" },
    .mWorkload = WorkloadId{ "certificates" },
    .mPerTask = { .mMilliCores = 1'000, .mMemoryMiB = 1'024, .mSlots = 1 },
    .mExpectedRunTime = std::chrono::milliseconds{ 1'000 },
    .mPayload = "payload"
  };
  for (std::uint32_t index = 0; index < aTasks; ++index) {
    placeTasks.mIndexes.push_back(index);
  }
  return placeTasks;
}

Harness::Harness(int aWorkers,
                 const PlacerOptions& aOptions,
                 const Resources& aCapacity)
  : mPlacer(std::make_unique<Placer>(aOptions))
  , mFailing(aWorkers, false)
  , mUnreachable(aWorkers, false)
{
  WorkersListed list;
  for (int number = 0; number < aWorkers; ++number) {
    list.mWorkers.push_back(MakeWorkerInfo(number, aCapacity));
    mWorkers.emplace_back(list.mWorkers.back());
  }
  HandleEvent(list);
}

void
Harness::HandleEvent(const PlacerEvent& aEvent)
{
  std::vector<protocol::WorkerReport> reports;
  ExecuteActions(mPlacer->Handle(aEvent, mNow), reports);
  for (std::size_t next = 0; next < reports.size(); ++next) {
    const protocol::WorkerReport report = reports[next];
    ExecuteActions(mPlacer->Handle(report, mNow), reports);
  }
}

void
Harness::ExecuteActions(const std::vector<PlacerAction>& aActions,
                        std::vector<protocol::WorkerReport>& aReports)
{
  for (const PlacerAction& action : aActions) {
    if (const auto* send = std::get_if<SendToWorker>(&action)) {
      mCommands.push_back(send->mCommand);
      for (std::size_t number = 0; number < mWorkers.size(); ++number) {
        FakeWorker& worker = mWorkers[number];
        if (worker.Info().mWorker != send->mCommand.mWorker ||
            mUnreachable[number]) {
          continue;
        }
        const std::map<protocol::TaskKey, FakeWorker::Execution> before =
          worker.Running();
        aReports.push_back(
          worker.Apply(send->mCommand, mTaskRunTime, mFailing[number]));
        for (const auto& [key, execution] : worker.Running()) {
          mStarts[key.mRequest] += before.contains(key) ? 0 : 1;
        }
      }
    } else if (const auto* message = std::get_if<SendToCoordinator>(&action)) {
      const protocol::ToCoordinator& any = message->mMessage;
      if (const auto* update = std::get_if<protocol::TaskUpdate>(&any)) {
        mUpdates.push_back(*update);
      } else if (const auto* held = std::get_if<protocol::TasksHeld>(&any)) {
        mHolds.push_back(*held);
      } else {
        mReconcileAnswers.push_back(std::get<protocol::ReconcileAnswer>(any));
      }
    }
  }
}

void
Harness::AdvanceTime(std::chrono::milliseconds aTime)
{
  for (std::chrono::milliseconds passed{ 0 }; passed < aTime;
       passed += kTimeStep) {
    mNow += kTimeStep;
    for (std::size_t number = 0; number < mWorkers.size(); ++number) {
      const std::size_t before = mWorkers[number].Running().size();
      mWorkers[number].Advance(kTimeStep);
      if (mWorkers[number].Running().size() != before &&
          !mUnreachable[number]) {
        HandleEvent(mWorkers[number].Report());
      }
    }
    HandleEvent(Tick{});
  }
}

void
Harness::SetPolicy(const policy::CellPolicy& aPolicy)
{
  HandleEvent(PolicyChanged{ std::make_shared<policy::CellPolicy>(aPolicy) });
}

void
Harness::Acknowledge(const protocol::TaskKey& aKey)
{
  HandleEvent(
    protocol::UpdateAck{ .mRoute = MakePlaceTasks("").mRoute, .mTask = aKey });
}

const protocol::TaskUpdate*
Harness::LatestUpdate(const std::string& aRequest,
                      std::uint32_t aIndex,
                      std::uint32_t aAttempt) const
{
  const protocol::TaskKey key{ .mRequest = RequestId{ aRequest },
                               .mIndex = aIndex,
                               .mAttempt = aAttempt };
  for (auto update = mUpdates.rbegin(); update != mUpdates.rend(); ++update) {
    if (update->mTask == key) {
      return &*update;
    }
  }
  return nullptr;
}

protocol::TaskState
Harness::State(const std::string& aRequest,
               std::uint32_t aIndex,
               std::uint32_t aAttempt) const
{
  const protocol::TaskUpdate* update = LatestUpdate(aRequest, aIndex, aAttempt);
  return update == nullptr ? protocol::TaskState::Queued : update->mState;
}

protocol::TaskEndReason
Harness::Reason(const std::string& aRequest,
                std::uint32_t aIndex,
                std::uint32_t aAttempt) const
{
  const protocol::TaskUpdate* update = LatestUpdate(aRequest, aIndex, aAttempt);
  return update == nullptr ? protocol::TaskEndReason::None : update->mReason;
}

std::size_t
Harness::RunningCount() const
{
  std::size_t count = 0;
  for (const FakeWorker& worker : mWorkers) {
    count += worker.Running().size();
  }
  return count;
}

int
Harness::StartCount(const std::string& aRequest) const
{
  const auto found = mStarts.find(RequestId{ aRequest });
  return found == mStarts.end() ? 0 : found->second;
}

} // namespace oriolevane::placement
