#include "placement/tests/chaossimulation.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "framework/stablehash.h"
#include "placement/tests/harness.h"

namespace oriolevane::placement {

using protocol::TaskKey;
using protocol::TaskState;

namespace {

constexpr std::chrono::milliseconds kTimeStep{ 100 };
constexpr std::chrono::milliseconds kResendEvery{ 1'500 };
constexpr std::size_t kMaxReplacedPlacers = 3;

} // namespace

ChaosSimulation::ChaosSimulation(const ChaosOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  for (int number = 0; number < mOptions.mWorkerCount; ++number) {
    mHosts.push_back(
      { .mWorker = FakeWorker(MakeWorkerInfo(number)),
        .mClockRate = 0.9 + 0.02 * static_cast<double>(number % 8) });
  }
  for (int number = 0; number < mOptions.mTaskCount; ++number) {
    const auto cores = static_cast<std::int64_t>(1 + mRandom() % 4);
    mTasks.push_back(
      { .mRequest = RequestId{ fmt::format("r-{}", number) },
        .mSubmitAt = mNow + kTimeStep * static_cast<int>(mRandom() % 300),
        .mPerTask = { .mMilliCores = cores * 1'000,
                      .mMemoryMiB = 2'048,
                      .mAccelerators = static_cast<std::int64_t>(mRandom() % 2),
                      .mSlots = 1 } });
  }
  ReplacePlacer();
}

std::string
ChaosSimulation::Run(int aFaultySteps, int aFaultFreeSteps)
{
  for (int step = 0; step < aFaultySteps + aFaultFreeSteps; ++step) {
    mFaultsEnabled = step < aFaultySteps;
    RunStep();
    if (!mViolation.empty()) {
      return fmt::format(
        "seed {} step {}: {}", mOptions.mSeed, step, mViolation);
    }
  }
  return {};
}

int
ChaosSimulation::FinishedCount() const
{
  return static_cast<int>(
    std::count_if(mTasks.begin(), mTasks.end(), [](const Task& aTask) {
      return aTask.mDone;
    }));
}

bool
ChaosSimulation::Chance(int aPerMille)
{
  return mFaultsEnabled && static_cast<int>(mRandom() % 1000) < aPerMille;
}

void
ChaosSimulation::Send(const std::function<void()>& aDeliver)
{
  if (Chance(mOptions.mLossPerMille)) {
    return;
  }
  const int copies = Chance(mOptions.mDuplicationPerMille) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const int maxDelay = !mFaultsEnabled ? 5 : Chance(100) ? 5'000 : 300;
    const std::chrono::milliseconds delay{ mRandom() % maxDelay };
    mNetwork.emplace(mNow + delay, Delivery{ aDeliver });
  }
}

void
ChaosSimulation::RunStep()
{
  mNow += kTimeStep;
  AdvanceWorkers();
  InjectFaults();
  while (!mNetwork.empty() && mNetwork.begin()->first <= mNow) {
    const Delivery delivery = std::move(mNetwork.begin()->second);
    mNetwork.erase(mNetwork.begin());
    delivery.mDeliver();
    CheckWorkers();
  }
  SendDueTasks();
  HandleEvent(Tick{});
  CheckWorkers();
  mHistoryHash = CombineHash(mHistoryHash, mPlacer->StateDigest());
}

void
ChaosSimulation::AdvanceWorkers()
{
  for (Host& host : mHosts) {
    const double millis =
      static_cast<double>(kTimeStep.count()) * host.mClockRate;
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
ChaosSimulation::InjectFaults()
{
  for (Host& host : mHosts) {
    if (Chance(mOptions.mRestartWorkerPerMille)) {
      host.mWorker.Restart();
    }
    if (Chance(mOptions.mSilenceWorkerPerMille)) {
      host.mUnreachableUntil =
        mNow + kTimeStep * static_cast<int>(mRandom() % 200);
    }
  }
  if (Chance(mOptions.mReplacePlacerPerMille)) {
    ReplacePlacer();
  }
  if (!mReplacedPlacers.empty() && Chance(100)) {
    // An earlier placer continues with its outdated state.
    ExecuteActions(
      mReplacedPlacers[mRandom() % mReplacedPlacers.size()]->Handle(Tick{},
                                                                    mNow),
      {});
  }
}

void
ChaosSimulation::ReplacePlacer()
{
  if (mPlacer != nullptr) {
    mReplacedPlacers.push_back(std::move(mPlacer));
    if (mReplacedPlacers.size() > kMaxReplacedPlacers) {
      mReplacedPlacers.erase(mReplacedPlacers.begin());
    }
  }
  mEpoch = Epoch{ mEpoch.mValue + 1 };
  PlacerOptions options = MakePlacerOptions();
  options.mEpoch = mEpoch;
  options.mSeed = mOptions.mSeed;
  mPlacer = std::make_unique<Placer>(options);
  WorkersListed list;
  for (const Host& host : mHosts) {
    list.mWorkers.push_back(host.mWorker.Info());
  }
  HandleEvent(list);
}

protocol::Route
ChaosSimulation::Route() const
{
  return { .mPartition = PartitionId{ 5 },
           .mShard = ShardId{ 3 },
           .mSenderEpoch = Epoch{ 1 } };
}

void
ChaosSimulation::SendDueTasks()
{
  for (Task& task : mTasks) {
    if (task.mDone || task.mSubmitAt > mNow) {
      continue;
    }
    if (!task.mCancelled && Chance(mOptions.mCancelPerMille) && Chance(100)) {
      task.mCancelled = true;
      task.mNextSendAt = mNow;
    }
    if (task.mNextSendAt <= mNow) {
      task.mNextSendAt = mNow + kResendEvery;
      SendTask(task);
    }
  }
}

void
ChaosSimulation::SendTask(Task& aTask)
{
  if (aTask.mShardEpoch == Epoch{}) {
    aTask.mShardEpoch = mEpoch;
  }
  const TaskKey key{ .mRequest = aTask.mRequest, .mAttempt = aTask.mAttempt };
  if (aTask.mCancelled) {
    const protocol::CancelTasks cancel{ .mRoute = Route(),
                                        .mShardEpoch = aTask.mShardEpoch,
                                        .mTasks = { key } };
    Send([this, cancel] { HandleEvent(cancel); });
    return;
  }
  protocol::PlaceTasks placeTasks = MakePlaceTasks(aTask.mRequest.mValue);
  placeTasks.mAttempt = aTask.mAttempt;
  placeTasks.mShardEpoch = aTask.mShardEpoch;
  placeTasks.mPerTask = aTask.mPerTask;
  Send([this, placeTasks] { HandleEvent(placeTasks); });
}

void
ChaosSimulation::HandleEvent(const PlacerEvent& aEvent)
{
  ExecuteActions(mPlacer->Handle(aEvent, mNow), mEpoch);
  Expect(mPlacer->CheckInvariants(),
         "the capacity ledger differs from the sum of the attempts");
  Expect(!mPlacer->IsDeposed(), "the current owner is marked as deposed");
}

void
ChaosSimulation::ExecuteActions(const std::vector<PlacerAction>& aActions,
                                Epoch aEpoch)
{
  for (const PlacerAction& action : aActions) {
    if (const auto* send = std::get_if<SendToWorker>(&action)) {
      const protocol::WorkerCommand command = send->mCommand;
      Send([this, command] { DeliverCommand(command); });
      continue;
    }
    const auto* message = std::get_if<SendToCoordinator>(&action);
    if (message == nullptr || aEpoch != mEpoch) {
      continue;
    }
    if (const auto* update =
          std::get_if<protocol::TaskUpdate>(&message->mMessage)) {
      CheckUpdate(*update);
      Send([this, copy = *update] { HandleUpdate(copy); });
    }
  }
}

void
ChaosSimulation::DeliverCommand(const protocol::WorkerCommand& aCommand)
{
  for (Host& host : mHosts) {
    if (host.mWorker.Info().mWorker != aCommand.mWorker ||
        host.mUnreachableUntil > mNow) {
      continue;
    }
    // A quarter of the tasks may run for longer than a lease lasts.
    const std::uint64_t maxRunTime = mRandom() % 4 == 0 ? 25'000 : 5'000;
    const std::chrono::milliseconds runTime{ 200 + mRandom() % maxRunTime };
    const std::set<TaskKey> before = [&host] {
      std::set<TaskKey> keys;
      for (const auto& [key, execution] : host.mWorker.Running()) {
        keys.insert(key);
      }
      return keys;
    }();
    const protocol::WorkerReport report =
      host.mWorker.Apply(aCommand, runTime, false);
    for (const auto& [key, execution] : host.mWorker.Running()) {
      if (!before.contains(key)) {
        Expect(mStarted.insert(key).second, "an attempt was started twice");
        Expect(!mReportedNotRunning.contains(key),
               "a task started after it was reported as not started or lost");
      }
    }
    Send([this, report] { HandleEvent(report); });
  }
}

void
ChaosSimulation::CheckUpdate(const protocol::TaskUpdate& aUpdate)
{
  const TaskKey& key = aUpdate.mTask;
  if (aUpdate.mState == TaskState::NotStarted) {
    Expect(!mStarted.contains(key),
           "a started task was reported as not started");
    mReportedNotRunning.insert(key);
  } else if (aUpdate.mState == TaskState::Succeeded) {
    Expect(mSucceeded.contains(key),
           "a task that did not succeed was reported as succeeded");
    Expect(!aUpdate.mAnswer.empty(),
           "a task was reported as succeeded without its answer");
  } else if (aUpdate.mState == TaskState::Lost) {
    for (const Host& host : mHosts) {
      Expect(!host.mWorker.Running().contains(key),
             "a running task was reported as lost");
    }
    mReportedNotRunning.insert(key);
  }
}

void
ChaosSimulation::HandleUpdate(const protocol::TaskUpdate& aUpdate)
{
  const auto task =
    std::find_if(mTasks.begin(), mTasks.end(), [&aUpdate](const Task& aTask) {
      return aTask.mRequest == aUpdate.mTask.mRequest;
    });
  if (!protocol::IsFinal(aUpdate.mState)) {
    return;
  }
  Send([this,
        ack = protocol::UpdateAck{
          .mRoute = Route(), .mTask = aUpdate.mTask }] { HandleEvent(ack); });
  if (task->mDone || aUpdate.mTask.mAttempt != task->mAttempt) {
    return;
  }
  if (aUpdate.mState == TaskState::Succeeded || task->mCancelled) {
    task->mDone = true;
    return;
  }
  ++task->mAttempt;
  task->mShardEpoch = {};
  task->mNextSendAt = mNow;
}

void
ChaosSimulation::CheckWorkers()
{
  std::set<RequestId> running;
  for (const Host& host : mHosts) {
    Expect(host.mWorker.UsedResources().FitsIn(host.mWorker.Info().mCapacity),
           "a worker is overcommitted");
    for (const auto& [key, execution] : host.mWorker.Running()) {
      Expect(running.insert(key.mRequest).second, "a task runs on two workers");
    }
  }
}

void
ChaosSimulation::Expect(bool aHolds, const std::string& aWhat)
{
  if (!aHolds && mViolation.empty()) {
    mViolation = aWhat;
  }
}

} // namespace oriolevane::placement
