#include "costtrial.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "coordination/coordinator.h"

namespace oriolevane::bench {

namespace {

using namespace std::chrono_literals;
using coordination::CoordinatorAction;
using protocol::TaskState;
using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

constexpr std::size_t kLives = 30'000;
constexpr std::size_t kWave = 50'000;
constexpr std::size_t kPayloadBytes = 200;
constexpr std::size_t kAnswerBytes = 200;
constexpr std::array<std::size_t, 4> kLiveCounts{ 10'000,
                                                  50'000,
                                                  100'000,
                                                  200'000 };

class CostTrial
{
public:
  explicit CostTrial(std::uint64_t aSeed)
    : mCoordinator({ .mShardCount = kShards,
                     .mSeed = aSeed,
                     .mMaxOutcomes = 1'000,
                     .mMaxLiveRequests = 1'000'000,
                     .mMaxPendingRecords = 1'000'000,
                     .mLimitAdmission = false })
  {
    auto policy = std::make_shared<policy::CellPolicy>();
    policy->mWorkloads[mWorkload] = { .mWorkload = mWorkload };
    policy->mTeams[mTeam] = { .mTeam = mTeam,
                              .mLimit = { 1 << 30, 1 << 30, 100, 1 << 20 } };
    Take(mCoordinator.BeginServing(mNow));
    Handle(coordination::PolicyChanged{ policy });
    const Resources worker{ 64'000, 262'144, 2, 8 };
    const Resources total{ 384'000, 1'572'864, 12, 48 };
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
      Handle(coordination::DigestReceived{ { .mShard = ShardId(shard),
                                             .mEpoch = Epoch(1),
                                             .mSequence = 1,
                                             .mReady = true,
                                             .mWorkers = 6,
                                             .mTotal = total,
                                             .mFree = total,
                                             .mLargestWorker = worker,
                                             .mLargestFree = worker } });
    }
  }

  void Submit(std::size_t aNumber, bool aNeverRepeat)
  {
    Handle(coordination::CallArrived{
      .mOrigin = { .mNode = NodeId("entry-1") },
      .mCall = { .mCall = ++mCalls,
                 .mBody = protocol::SubmitCall{
                   { .mId = RequestId(fmt::format("{:032}", aNumber)),
                     .mTeam = mTeam,
                     .mWorkload = mWorkload,
                     .mNeverRepeat = aNeverRepeat,
                     .mCallerWaits = true,
                     .mPerTask = { 1'000, 512, 0, 1 },
                     .mPayload = std::string(kPayloadBytes, 'p') } } } });
  }

  void Cancel(std::size_t aNumber)
  {
    Handle(coordination::CallArrived{
      .mOrigin = { .mNode = NodeId("entry-1") },
      .mCall = { .mCall = ++mCalls,
                 .mBody = protocol::CancelCall{
                   RequestId(fmt::format("{:032}", aNumber)) } } });
  }

  // Reports the state of every attempt placed since the last call.
  void Report(TaskState aState, bool aForget)
  {
    const std::deque<Placed> placed = mPlaced;
    if (aForget) {
      mPlaced.clear();
    }
    for (const Placed& one : placed) {
      Handle(protocol::TaskUpdate{
        .mRoute = { .mShard = one.mShard, .mSenderEpoch = Epoch(1) },
        .mTask = one.mTask,
        .mState = aState,
        .mWorker = WorkerId("worker-17"),
        .mAnswer =
          IsFinal(aState) ? std::string(kAnswerBytes, 'a') : std::string() });
    }
  }

  void Pass(std::chrono::milliseconds aTime)
  {
    mNow += aTime;
    Handle(coordination::Tick{});
  }

  std::size_t Events() const { return mEvents; }
  std::size_t JournalBytes() const { return mJournalBytes; }

private:
  static constexpr std::uint32_t kShards = 8;
  struct Placed
  {
    ShardId mShard;
    protocol::TaskKey mTask;
  };

  void Handle(const coordination::CoordinatorEvent& aEvent)
  {
    ++mEvents;
    Take(mCoordinator.Handle(aEvent, mNow));
  }

  void Take(const std::vector<CoordinatorAction>& aActions)
  {
    std::uint64_t committed = 0;
    for (const CoordinatorAction& action : aActions) {
      if (const auto* record =
            std::get_if<coordination::AppendRecord>(&action)) {
        committed = record->mSequence;
        mJournalBytes += record->mBytes.size();
      } else if (const auto* sent =
                   std::get_if<coordination::SendToPlacer>(&action)) {
        TakeMessage(*sent);
      }
    }
    if (committed > 0) {
      Handle(coordination::RecordCommitted{ committed });
    }
  }

  void TakeMessage(const coordination::SendToPlacer& aSent)
  {
    if (const auto* place =
          std::get_if<protocol::PlaceTasks>(&aSent.mMessage)) {
      mPlaced.push_back(
        { aSent.mShard, { place->mRequest, 0, place->mAttempt } });
    } else if (std::holds_alternative<protocol::ReconcileQuery>(
                 aSent.mMessage)) {
      Handle(protocol::ReconcileAnswer{
        .mRoute = { .mShard = aSent.mShard, .mSenderEpoch = Epoch(1) },
        .mComplete = true });
    }
  }

  TimePoint mNow{ 1h };
  TeamId mTeam{ "workshop" };
  WorkloadId mWorkload{ "matches" };
  std::deque<Placed> mPlaced;
  std::uint64_t mCalls = 0;
  std::size_t mEvents = 0;
  std::size_t mJournalBytes = 0;
  coordination::Coordinator mCoordinator;
};

double
SecondsSince(Clock::time_point aStart)
{
  return Seconds(Clock::now() - aStart).count();
}

void
MeasureLives(std::uint64_t aSeed, CostResult& aResult)
{
  CostTrial trial(aSeed);
  const std::size_t before = trial.Events();
  const Clock::time_point start = Clock::now();
  for (std::size_t number = 0; number < kLives; ++number) {
    trial.Submit(number, false);
    trial.Report(TaskState::Running, false);
    trial.Report(TaskState::Succeeded, true);
    if (number % 100 == 0) {
      trial.Pass(50ms);
    }
  }
  const double took = SecondsSince(start);
  aResult.mEventsPerSecond =
    static_cast<double>(trial.Events() - before) / took;
  aResult.mRequestsPerSecond = static_cast<double>(kLives) / took;
  aResult.mJournalBytesPerRequest =
    static_cast<double>(trial.JournalBytes()) / static_cast<double>(kLives);
}

double
MeasureNeverRepeatBytes(std::uint64_t aSeed)
{
  constexpr std::size_t kCount = 1'000;
  CostTrial trial(aSeed);
  for (std::size_t number = 0; number < kCount; ++number) {
    trial.Submit(number, true);
  }
  trial.Report(TaskState::Succeeded, true);
  return static_cast<double>(trial.JournalBytes()) /
         static_cast<double>(kCount);
}

// Least squares over the numbers of live requests.
double
MeasureMemory(std::uint64_t aSeed)
{
  CostTrial trial(aSeed);
  std::vector<std::pair<double, double>> points;
  std::size_t live = 0;
  for (const std::size_t count : kLiveCounts) {
    for (; live < count; ++live) {
      trial.Submit(live, false);
      trial.Report(TaskState::Running, true);
    }
    points.emplace_back(static_cast<double>(live),
                        static_cast<double>(mallinfo2().uordblks));
  }
  double meanX = 0;
  double meanY = 0;
  for (const auto& [x, y] : points) {
    meanX += x / static_cast<double>(points.size());
    meanY += y / static_cast<double>(points.size());
  }
  double covariance = 0;
  double variance = 0;
  for (const auto& [x, y] : points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) * (x - meanX);
  }
  return covariance / variance;
}

void
MeasureWave(std::uint64_t aSeed, CostResult& aResult)
{
  CostTrial trial(aSeed);
  for (std::size_t number = 0; number < kWave; ++number) {
    trial.Submit(number, false);
  }
  double worst = 0;
  const Clock::time_point start = Clock::now();
  for (std::size_t number = 0; number < kWave; ++number) {
    const Clock::time_point one = Clock::now();
    trial.Cancel(number);
    worst = std::max(worst, SecondsSince(one));
  }
  trial.Report(TaskState::NotStarted, true);
  aResult.mCancelsPerSecond = static_cast<double>(kWave) / SecondsSince(start);
  aResult.mWorstCancelMicroseconds = worst * 1e6;
}

} // namespace

CostResult
RunCost(std::uint64_t aSeed)
{
  CostResult result;
  MeasureLives(aSeed, result);
  result.mJournalBytesPerNeverRepeat = MeasureNeverRepeatBytes(aSeed);
  result.mBytesPerLiveRequest = MeasureMemory(aSeed);
  MeasureWave(aSeed, result);
  return result;
}

} // namespace oriolevane::bench
