#include "loadtrial.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <unordered_map>

#include <fmt/format.h>

namespace oriolevane::bench {

namespace {

using namespace std::chrono_literals;
using coordination::Coordinator;
using coordination::CoordinatorAction;
using protocol::TaskState;
using protocol::Urgency;
using Seconds = std::chrono::duration<double>;

// The cell of one deployment: 48 workers of 8 slots.
constexpr std::size_t kSlots = 384;
constexpr Seconds kMeanRunTime{ 1.0 };
constexpr double kCapacity = static_cast<double>(kSlots) / kMeanRunTime.count();
constexpr Seconds kTraceTime{ 60 };
constexpr auto kDigestEvery = 1s;
constexpr auto kTickEvery = 50ms;
constexpr double kUrgentShare = 0.2;
constexpr double kLowShare = 0.3;
constexpr std::array<std::chrono::milliseconds, protocol::kUrgencyLevels>
  kToleratedWaits{ 20'000ms, 10'000ms, 3'500ms };
constexpr std::array<const char*, protocol::kUrgencyLevels> kWorkloads{
  "low",
  "normal",
  "urgent"
};

class LoadTrial
{
public:
  explicit LoadTrial(const LoadOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mCoordinator({ .mSeed = aOptions.mSeed,
                     .mMaxOutcomes = 100,
                     .mMaxLiveRequests = 1'000'000,
                     .mLimitAdmission = aOptions.mLimitAdmission })
  {
    auto policy = std::make_shared<policy::CellPolicy>();
    policy->mAdmissionRate = kCapacity;
    for (std::size_t level = 0; level < kWorkloads.size(); ++level) {
      const WorkloadId id(kWorkloads[level]);
      policy->mWorkloads[id] = { .mWorkload = id,
                                 .mToleratedWait = kToleratedWaits[level] };
    }
    policy->mTeams[mTeam] = { .mTeam = mTeam,
                              .mLimit = { 1 << 30, 1 << 30, 100, 1 << 20 } };
    Take(mCoordinator.BeginServing(mNow));
    Handle(coordination::PolicyChanged{ policy });
    SendDigest();
  }

  LoadResult Run()
  {
    std::exponential_distribution<double> gap(mOptions.mLoad * kCapacity);
    const TimePoint end = mNow + std::chrono::ceil<Duration>(kTraceTime);
    TimePoint arrival = mNow;
    TimePoint tick = mNow;
    TimePoint digest = mNow;
    while (mNow < end) {
      const TimePoint finish =
        mRunning.empty() ? TimePoint::max() : mRunning.top().first;
      mNow = std::min({ arrival, tick, digest, finish });
      if (mNow == finish) {
        EndTask();
      } else if (mNow == arrival) {
        Arrive();
        arrival += std::chrono::ceil<Duration>(Seconds(gap(mRandom)));
      } else if (mNow == tick) {
        Handle(coordination::Tick{});
        tick += kTickEvery;
      } else {
        SendDigest();
        digest += kDigestEvery;
      }
    }
    mResult.mGoodput = mGood / kTraceTime.count() / kCapacity;
    mResult.mRefusedShare = mRefused / std::max(mArrived, 1.0);
    return std::move(mResult);
  }

private:
  struct Queued
  {
    protocol::TaskKey mTask;
    TimePoint mArrived;
    std::size_t mLevel = 0;
  };
  using Running = std::pair<TimePoint, protocol::TaskKey>;

  void Handle(const coordination::CoordinatorEvent& aEvent)
  {
    Take(mCoordinator.Handle(aEvent, mNow));
  }

  void Take(const std::vector<CoordinatorAction>& aActions)
  {
    std::uint64_t committed = 0;
    std::deque<coordination::CoordinatorEvent> next;
    for (const CoordinatorAction& action : aActions) {
      if (const auto* record =
            std::get_if<coordination::AppendRecord>(&action)) {
        committed = record->mSequence;
      } else if (const auto* reply =
                   std::get_if<coordination::ReplyToCaller>(&action)) {
        mRefused +=
          reply->mReply.mStatus.mOutcome == protocol::Outcome::NotRun ? 1 : 0;
      } else if (const auto* sent =
                   std::get_if<coordination::SendToPlacer>(&action)) {
        TakeMessage(sent->mMessage);
      }
    }
    if (committed > 0) {
      Handle(coordination::RecordCommitted{ committed });
    }
    StartTasks();
  }

  void TakeMessage(const protocol::ToPlacer& aMessage)
  {
    if (const auto* place = std::get_if<protocol::PlaceTasks>(&aMessage)) {
      const auto level = static_cast<std::size_t>(place->mUrgency);
      mQueues[level].push_back(
        { { place->mRequest, 0, place->mAttempt }, mNow, level });
      mReports.push_back(
        Update(mQueues[level].back().mTask, TaskState::Queued));
    } else if (std::holds_alternative<protocol::ReconcileQuery>(aMessage)) {
      mReports.push_back(protocol::ReconcileAnswer{
        .mRoute = { .mSenderEpoch = Epoch(1) }, .mComplete = true });
    }
  }

  void StartTasks()
  {
    for (std::size_t level = mQueues.size(); level > 0; --level) {
      std::deque<Queued>& queue = mQueues[level - 1];
      while (!queue.empty() && mRunning.size() < kSlots) {
        Start(queue.front());
        queue.pop_front();
      }
    }
    while (!mReports.empty()) {
      const coordination::CoordinatorEvent report = std::move(mReports.front());
      mReports.pop_front();
      Handle(report);
    }
  }

  void Start(const Queued& aTask)
  {
    std::exponential_distribution<double> time(1 / kMeanRunTime.count());
    const double wait = Seconds(mNow - aTask.mArrived).count();
    const double tolerated = Seconds(kToleratedWaits[aTask.mLevel]).count();
    mResult.mWaits[aTask.mLevel].push_back(wait / tolerated);
    mGood += wait <= tolerated ? 1 : 0;
    mRunning.emplace(mNow + std::chrono::ceil<Duration>(Seconds(time(mRandom))),
                     aTask.mTask);
    mReports.push_back(Update(aTask.mTask, TaskState::Running));
  }

  void EndTask()
  {
    const protocol::TaskKey task = mRunning.top().second;
    mRunning.pop();
    mReports.push_back(Update(task, TaskState::Succeeded));
    StartTasks();
  }

  static protocol::TaskUpdate Update(const protocol::TaskKey& aTask,
                                     TaskState aState)
  {
    return { .mRoute = { .mSenderEpoch = Epoch(1) },
             .mTask = aTask,
             .mState = aState };
  }

  void Arrive()
  {
    std::uniform_real_distribution<double> share(0, 1);
    const double drawn = share(mRandom);
    std::size_t level = 1;
    if (drawn < kUrgentShare) {
      level = 2;
    } else if (drawn < kUrgentShare + kLowShare) {
      level = 0;
    }
    mArrived += 1;
    Handle(coordination::CallArrived{
      .mOrigin = { .mNode = NodeId("entry-1") },
      .mCall = { .mCall = ++mCalls,
                 .mBody = protocol::SubmitCall{
                   { .mId = RequestId(fmt::format("r{}", mCalls)),
                     .mTeam = mTeam,
                     .mWorkload = WorkloadId(kWorkloads[level]),
                     .mUrgency = static_cast<Urgency>(level),
                     .mCallerWaits = true,
                     .mPerTask = { .mSlots = 1 } } } } });
  }

  void SendDigest()
  {
    std::size_t queued = 0;
    for (const std::deque<Queued>& queue : mQueues) {
      queued += queue.size();
    }
    const auto slots = static_cast<std::int64_t>(kSlots);
    Handle(coordination::DigestReceived{
      { .mEpoch = Epoch(1),
        .mSequence = ++mDigests,
        .mReady = true,
        .mWorkers = 48,
        .mTotal = { 0, 0, 0, slots },
        .mFree = { 0,
                   0,
                   0,
                   slots - static_cast<std::int64_t>(mRunning.size()) },
        .mLargestWorker = { 0, 0, 0, 8 },
        .mLargestFree = { 0, 0, 0, 8 },
        .mExpectedWait = std::chrono::milliseconds(static_cast<std::int64_t>(
          static_cast<double>(queued) / kCapacity * 1000)) } });
  }

  LoadOptions mOptions;
  std::mt19937_64 mRandom;
  TimePoint mNow{ 1h };
  TeamId mTeam{ "workshop" };
  std::array<std::deque<Queued>, protocol::kUrgencyLevels> mQueues;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> mRunning;
  std::deque<coordination::CoordinatorEvent> mReports;
  std::uint64_t mCalls = 0;
  std::uint64_t mDigests = 0;
  double mArrived = 0;
  double mRefused = 0;
  double mGood = 0;
  LoadResult mResult;
  Coordinator mCoordinator;
};

} // namespace

LoadResult
RunLoad(const LoadOptions& aOptions)
{
  return LoadTrial(aOptions).Run();
}

} // namespace oriolevane::bench
