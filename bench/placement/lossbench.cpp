#include "lossbench.h"

#include <chrono>
#include <map>
#include <random>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "cells.h"
#include "virtualcell.h"

namespace oriolevane::bench {

using std::chrono::milliseconds;

namespace {

constexpr int kRepeats = 3;
constexpr std::size_t kWorkers = 48;
constexpr milliseconds kDuration{ 300'000 };
constexpr milliseconds kSubmitInterval{ 100 };
constexpr milliseconds kBadWorkerRunTime{ 50 };
// Share of tasks that fail on any worker.
constexpr double kBackgroundFailureRate = 0.02;

protocol::PlaceTasks
MakePlaceTasks(std::uint64_t aNumber)
{
  return { .mRoute = { .mSenderEpoch = Epoch{ 1 } },
           .mRequest = RequestId{ fmt::format("{:06}", aNumber) },
           .mIndexes = { 0 },
           .mShardEpoch = Epoch{ 1 },
           .mTeam = TeamId{ "crews" },
           .mWorkload = WorkloadId{ fmt::format("workload-{}", aNumber % 3) },
           .mPerTask = {
             .mMilliCores = 4'000, .mMemoryMiB = 8'192, .mSlots = 1 } };
}

void
Measure(BenchResults& aResults, bool aQuarantine, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::map<protocol::TaskKey, WorkerId> workerByTask;
  std::vector<protocol::PlaceTasks> retries;
  const WorkerId badWorker{ "w-00007" };
  std::uint64_t attempts = 0;
  std::uint64_t lost = 0;
  CellHooks hooks;
  hooks.mChooseOutcome = [&](const protocol::TaskKey& aKey,
                             const WorkerId& aWorker) {
    ++attempts;
    const bool isBad = aWorker == badWorker;
    lost += isBad ? 1 : 0;
    workerByTask[aKey] = aWorker;
    const double draw = static_cast<double>(random() % 10'000) / 10'000;
    return TaskOutcome{ .mRunTime =
                          isBad ? kBadWorkerRunTime
                                : milliseconds{ 5'000 + random() % 40'000 },
                        .mFails = isBad || draw < kBackgroundFailureRate };
  };
  hooks.mOnEnded = [&](const protocol::TaskUpdate& aUpdate, TimePoint) {
    if (aUpdate.mState == protocol::TaskState::Failed) {
      protocol::PlaceTasks placeTasks = MakePlaceTasks(0);
      placeTasks.mRequest = aUpdate.mTask.mRequest;
      placeTasks.mAttempt = aUpdate.mTask.mAttempt + 1;
      placeTasks.mAvoid = { workerByTask.at(aUpdate.mTask) };
      retries.push_back(std::move(placeTasks));
    }
  };
  placement::PlacerOptions options = BenchOptions(aSeed);
  options.mQuarantineEnabled = aQuarantine;
  VirtualCell cell(options, MakeWorkers(kWorkers, 0), {}, std::move(hooks));
  const TimePoint begin = cell.Now();
  std::uint64_t number = 0;
  for (milliseconds at{ 0 }; at < kDuration; at += kSubmitInterval) {
    cell.AdvanceTo(begin + at);
    for (const protocol::PlaceTasks& placeTasks : std::exchange(retries, {})) {
      cell.HandleEvent(placeTasks);
    }
    cell.HandleEvent(MakePlaceTasks(++number));
  }
  const std::string name =
    aQuarantine ? "bad_worker.quarantine" : "bad_worker.no_quarantine";
  aResults.Add(name + ".lost_share",
               static_cast<double>(lost) / static_cast<double>(attempts));
  aResults.Add(name + ".lost_attempts", static_cast<double>(lost));
}

} // namespace

void
RunLossBench(BenchResults& aResults)
{
  for (int repeat = 1; repeat <= kRepeats; ++repeat) {
    Measure(aResults, true, static_cast<std::uint64_t>(repeat));
    Measure(aResults, false, static_cast<std::uint64_t>(repeat));
  }
}

} // namespace oriolevane::bench
