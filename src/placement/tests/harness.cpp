#include "placement/tests/harness.h"

#include <stdexcept>
#include <utility>

#include <fmt/format.h>

namespace oriolevane::placement {

namespace {

constexpr std::chrono::milliseconds kStep{ 100 };

} // namespace

PlacerOptions
TestOptions()
{
  return { .mShard = ShardId{ 3 },
           .mEpoch = Epoch{ 1 },
           .mOwner = NodeId{ "node-1" } };
}

protocol::WorkerInfo
TestWorker(int aNumber, const Resources& aCapacity)
{
  return { .mWorker = WorkerId{ fmt::format("w-{}", aNumber) },
           .mZone = ZoneId{ fmt::format("zone-{}", aNumber / 12) },
           .mRack = RackId{ fmt::format("rack-{}", aNumber / 6) },
           .mCapacity = aCapacity,
           .mAddress = "127.0.0.1:1" };
}

protocol::PlaceTasks
TestOrder(const std::string& aRequest, std::uint32_t aTasks)
{
  protocol::PlaceTasks order{
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
    order.mIndexes.push_back(index);
  }
  return order;
}

Harness::Harness(int aWorkers,
                 const PlacerOptions& aOptions,
                 const Resources& aCapacity)
  : mPlacer(std::make_unique<Placer>(aOptions))
  , mFailing(aWorkers, false)
  , mMuted(aWorkers, false)
{
  WorkersListed list;
  for (int number = 0; number < aWorkers; ++number) {
    list.mWorkers.push_back(TestWorker(number, aCapacity));
    mWorkers.emplace_back(list.mWorkers.back());
  }
  Give(list);
}

void
Harness::Give(const PlacerEvent& aEvent)
{
  std::vector<protocol::WorkerReport> reports;
  Carry(mPlacer->Handle(aEvent, mNow), reports);
  for (std::size_t next = 0; next < reports.size(); ++next) {
    const protocol::WorkerReport report = reports[next];
    Carry(mPlacer->Handle(report, mNow), reports);
  }
}

void
Harness::Carry(const std::vector<PlacerAction>& aActions,
               std::vector<protocol::WorkerReport>& aReports)
{
  for (const PlacerAction& action : aActions) {
    if (const auto* send = std::get_if<SendToWorker>(&action)) {
      mCommands.push_back(send->mCommand);
      for (std::size_t number = 0; number < mWorkers.size(); ++number) {
        FakeWorker& worker = mWorkers[number];
        if (worker.Info().mWorker != send->mCommand.mWorker || mMuted[number]) {
          continue;
        }
        const std::map<protocol::TaskKey, FakeWorker::Held> before =
          worker.Running();
        aReports.push_back(
          worker.Apply(send->mCommand, mRunTime, mFailing[number]));
        for (const auto& [key, held] : worker.Running()) {
          mStarts[key.mRequest] += before.contains(key) ? 0 : 1;
        }
      }
    } else if (const auto* message = std::get_if<SendToCoordinator>(&action)) {
      const protocol::ToCoordinator& any = message->mMessage;
      if (const auto* update = std::get_if<protocol::TaskUpdate>(&any)) {
        mUpdates.push_back(*update);
      } else if (const auto* held = std::get_if<protocol::TasksHeld>(&any)) {
        mHeld.push_back(*held);
      } else {
        mAnswers.push_back(std::get<protocol::ReconcileAnswer>(any));
      }
    }
  }
}

void
Harness::Pass(std::chrono::milliseconds aTime)
{
  for (std::chrono::milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
    mNow += kStep;
    for (std::size_t number = 0; number < mWorkers.size(); ++number) {
      const std::size_t before = mWorkers[number].Running().size();
      mWorkers[number].Advance(kStep);
      if (mWorkers[number].Running().size() != before && !mMuted[number]) {
        Give(mWorkers[number].Report());
      }
    }
    Give(Tick{});
  }
}

void
Harness::SetPolicy(const policy::CellPolicy& aPolicy)
{
  Give(PolicyChanged{ std::make_shared<policy::CellPolicy>(aPolicy) });
}

void
Harness::Acknowledge(const protocol::TaskKey& aKey)
{
  Give(protocol::UpdateAck{ .mRoute = TestOrder("").mRoute, .mTask = aKey });
}

const protocol::TaskUpdate*
Harness::Update(const std::string& aRequest,
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
  const protocol::TaskUpdate* update = Update(aRequest, aIndex, aAttempt);
  return update == nullptr ? protocol::TaskState::Queued : update->mState;
}

protocol::TaskEndReason
Harness::Reason(const std::string& aRequest,
                std::uint32_t aIndex,
                std::uint32_t aAttempt) const
{
  const protocol::TaskUpdate* update = Update(aRequest, aIndex, aAttempt);
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
Harness::Starts(const std::string& aRequest) const
{
  const auto found = mStarts.find(RequestId{ aRequest });
  return found == mStarts.end() ? 0 : found->second;
}

} // namespace oriolevane::placement
