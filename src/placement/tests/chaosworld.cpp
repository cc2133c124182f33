#include "placement/tests/chaosworld.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "framework/stablehash.h"
#include "placement/tests/harness.h"

namespace oriolevane::placement {

using protocol::TaskKey;
using protocol::TaskState;

namespace {

constexpr std::chrono::milliseconds kStep{ 100 };
constexpr std::chrono::milliseconds kResendEvery{ 1'500 };
constexpr std::size_t kMostZombies = 3;

} // namespace

ChaosWorld::ChaosWorld(const ChaosOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  for (int number = 0; number < mOptions.mWorkers; ++number) {
    mHosts.push_back({ .mWorker = FakeWorker(TestWorker(number)),
                       .mRate = 0.9 + 0.02 * static_cast<double>(number % 8) });
  }
  for (int number = 0; number < mOptions.mTasks; ++number) {
    const auto cores = static_cast<std::int64_t>(1 + mRandom() % 4);
    mTasks.push_back(
      { .mRequest = RequestId{ fmt::format("r-{}", number) },
        .mSubmitAt = mNow + kStep * static_cast<int>(mRandom() % 300),
        .mNeed = { .mMilliCores = cores * 1'000,
                   .mMemoryMiB = 2'048,
                   .mAccelerators = static_cast<std::int64_t>(mRandom() % 2),
                   .mSlots = 1 } });
  }
  ReplacePlacer();
}

std::string
ChaosWorld::Run(int aFaultySteps, int aHealedSteps)
{
  for (int step = 0; step < aFaultySteps + aHealedSteps; ++step) {
    mFaulty = step < aFaultySteps;
    Step();
    if (!mBroken.empty()) {
      return fmt::format("seed {} step {}: {}", mOptions.mSeed, step, mBroken);
    }
  }
  return {};
}

int
ChaosWorld::Finished() const
{
  return static_cast<int>(
    std::count_if(mTasks.begin(), mTasks.end(), [](const Task& aTask) {
      return aTask.mDone;
    }));
}

bool
ChaosWorld::Chance(int aPerMille)
{
  return mFaulty && static_cast<int>(mRandom() % 1000) < aPerMille;
}

void
ChaosWorld::Send(const std::function<void()>& aDeliver)
{
  if (Chance(mOptions.mLost)) {
    return;
  }
  const int copies = Chance(mOptions.mDoubled) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const int most = !mFaulty ? 5 : Chance(100) ? 5'000 : 300;
    const std::chrono::milliseconds delay{ mRandom() % most };
    mNetwork.emplace(mNow + delay, Delivery{ aDeliver });
  }
}

void
ChaosWorld::Step()
{
  mNow += kStep;
  MoveWorkers();
  BreakThings();
  while (!mNetwork.empty() && mNetwork.begin()->first <= mNow) {
    const Delivery delivery = std::move(mNetwork.begin()->second);
    mNetwork.erase(mNetwork.begin());
    delivery.mDeliver();
    CheckWorkers();
  }
  MoveTasks();
  Give(Tick{});
  CheckWorkers();
  mHistory = CombineHash(mHistory, mPlacer->StateDigest());
}

void
ChaosWorld::MoveWorkers()
{
  for (Host& host : mHosts) {
    const double millis = static_cast<double>(kStep.count()) * host.mRate;
    host.mWorker.Advance(
      std::chrono::milliseconds{ static_cast<int>(std::lround(millis)) });
    for (const protocol::EndedTask& ended : host.mWorker.Report().mEnded) {
      if (ended.mSucceeded) {
        mSucceeded.insert(ended.mTask);
      }
    }
  }
}

void
ChaosWorld::BreakThings()
{
  for (Host& host : mHosts) {
    if (Chance(mOptions.mRestartWorker)) {
      host.mWorker.Restart();
    }
    if (Chance(mOptions.mMuteWorker)) {
      host.mMutedUntil = mNow + kStep * static_cast<int>(mRandom() % 200);
    }
  }
  if (Chance(mOptions.mReplacePlacer)) {
    ReplacePlacer();
  }
  if (!mZombies.empty() && Chance(100)) {
    // Wakes up and sends with what it knew.
    Carry(mZombies[mRandom() % mZombies.size()]->Handle(Tick{}, mNow), {});
  }
}

void
ChaosWorld::ReplacePlacer()
{
  if (mPlacer != nullptr) {
    mZombies.push_back(std::move(mPlacer));
    if (mZombies.size() > kMostZombies) {
      mZombies.erase(mZombies.begin());
    }
  }
  mEpoch = Epoch{ mEpoch.mValue + 1 };
  PlacerOptions options = TestOptions();
  options.mEpoch = mEpoch;
  options.mSeed = mOptions.mSeed;
  mPlacer = std::make_unique<Placer>(options);
  WorkersListed list;
  for (const Host& host : mHosts) {
    list.mWorkers.push_back(host.mWorker.Info());
  }
  Give(list);
}

protocol::Route
ChaosWorld::Route() const
{
  return { .mPartition = PartitionId{ 5 },
           .mShard = ShardId{ 3 },
           .mSenderEpoch = Epoch{ 1 } };
}

void
ChaosWorld::MoveTasks()
{
  for (Task& task : mTasks) {
    if (task.mDone || task.mSubmitAt > mNow) {
      continue;
    }
    if (!task.mCancelled && Chance(mOptions.mCancel) && Chance(100)) {
      task.mCancelled = true;
      task.mNextSend = mNow;
    }
    if (task.mNextSend <= mNow) {
      task.mNextSend = mNow + kResendEvery;
      SendTask(task);
    }
  }
}

void
ChaosWorld::SendTask(Task& aTask)
{
  if (aTask.mSentUnder == Epoch{}) {
    aTask.mSentUnder = mEpoch;
  }
  const TaskKey key{ .mRequest = aTask.mRequest, .mAttempt = aTask.mAttempt };
  if (aTask.mCancelled) {
    const protocol::CancelTasks cancel{ .mRoute = Route(),
                                        .mShardEpoch = aTask.mSentUnder,
                                        .mTasks = { key } };
    Send([this, cancel] { Give(cancel); });
    return;
  }
  protocol::PlaceTasks order = TestOrder(aTask.mRequest.mValue);
  order.mAttempt = aTask.mAttempt;
  order.mShardEpoch = aTask.mSentUnder;
  order.mPerTask = aTask.mNeed;
  Send([this, order] { Give(order); });
}

void
ChaosWorld::Give(const PlacerEvent& aEvent)
{
  Carry(mPlacer->Handle(aEvent, mNow), mEpoch);
  Expect(mPlacer->CheckInvariants(), "the ledger is not its attempts' sum");
  Expect(!mPlacer->IsDeposed(), "the owner believes to be deposed");
}

void
ChaosWorld::Carry(const std::vector<PlacerAction>& aActions, Epoch aEpoch)
{
  for (const PlacerAction& action : aActions) {
    if (const auto* send = std::get_if<SendToWorker>(&action)) {
      const protocol::WorkerCommand command = send->mCommand;
      Send([this, command] { CarryCommand(command); });
      continue;
    }
    const auto* message = std::get_if<SendToCoordinator>(&action);
    if (message == nullptr || aEpoch != mEpoch) {
      continue;
    }
    if (const auto* update =
          std::get_if<protocol::TaskUpdate>(&message->mMessage)) {
      CheckTruth(*update);
      Send([this, copy = *update] { TakeUpdate(copy); });
    }
  }
}

void
ChaosWorld::CarryCommand(const protocol::WorkerCommand& aCommand)
{
  for (Host& host : mHosts) {
    if (host.mWorker.Info().mWorker != aCommand.mWorker ||
        host.mMutedUntil > mNow) {
      continue;
    }
    // Some outlast every lease.
    const std::uint64_t most = mRandom() % 4 == 0 ? 25'000 : 5'000;
    const std::chrono::milliseconds runTime{ 200 + mRandom() % most };
    const std::set<TaskKey> before = [&host] {
      std::set<TaskKey> keys;
      for (const auto& [key, held] : host.mWorker.Running()) {
        keys.insert(key);
      }
      return keys;
    }();
    const protocol::WorkerReport report =
      host.mWorker.Apply(aCommand, runTime, false);
    for (const auto& [key, held] : host.mWorker.Running()) {
      if (!before.contains(key)) {
        Expect(mStarted.insert(key).second, "one attempt started twice");
        Expect(!mGivenUp.contains(key), "started after it was given up");
      }
    }
    Send([this, report] { Give(report); });
  }
}

void
ChaosWorld::CheckTruth(const protocol::TaskUpdate& aUpdate)
{
  const TaskKey& key = aUpdate.mTask;
  if (aUpdate.mState == TaskState::NotStarted) {
    Expect(!mStarted.contains(key), "told as not started, but it was");
    mGivenUp.insert(key);
  } else if (aUpdate.mState == TaskState::Succeeded) {
    Expect(mSucceeded.contains(key), "told as succeeded, but it did not");
    Expect(!aUpdate.mAnswer.empty(), "succeeded without its answer");
  } else if (aUpdate.mState == TaskState::Lost) {
    for (const Host& host : mHosts) {
      Expect(!host.mWorker.Running().contains(key),
             "told as lost, but it runs");
    }
    mGivenUp.insert(key);
  }
}

void
ChaosWorld::TakeUpdate(const protocol::TaskUpdate& aUpdate)
{
  const auto task =
    std::find_if(mTasks.begin(), mTasks.end(), [&aUpdate](const Task& aTask) {
      return aTask.mRequest == aUpdate.mTask.mRequest;
    });
  if (!protocol::IsFinal(aUpdate.mState)) {
    return;
  }
  Send([this,
        ack = protocol::UpdateAck{ .mRoute = Route(),
                                   .mTask = aUpdate.mTask }] { Give(ack); });
  if (task->mDone || aUpdate.mTask.mAttempt != task->mAttempt) {
    return;
  }
  if (aUpdate.mState == TaskState::Succeeded || task->mCancelled) {
    task->mDone = true;
    return;
  }
  ++task->mAttempt;
  task->mSentUnder = {};
  task->mNextSend = mNow;
}

void
ChaosWorld::CheckWorkers()
{
  std::set<RequestId> running;
  for (const Host& host : mHosts) {
    Expect(host.mWorker.Used().FitsIn(host.mWorker.Info().mCapacity),
           "a worker is overcommitted");
    for (const auto& [key, held] : host.mWorker.Running()) {
      Expect(running.insert(key.mRequest).second, "a task runs in two places");
    }
  }
}

void
ChaosWorld::Expect(bool aHolds, const std::string& aWhat)
{
  if (!aHolds && mBroken.empty()) {
    mBroken = aWhat;
  }
}

} // namespace oriolevane::placement
