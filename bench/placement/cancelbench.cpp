#include "cancelbench.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

#include "cells.h"
#include "virtualcell.h"

namespace oriolevane::bench {

namespace {

constexpr int kRepeats = 3;
constexpr std::size_t kWorkers = 2'700;
constexpr std::uint32_t kCancelledTasks = 50'000;
constexpr std::uint32_t kTasksPerMessage = 500;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMillisPerSecond = 1e3;

protocol::PlaceTasks
MakePlaceTasks(const std::string& aRequest, const Resources& aNeed)
{
  return { .mRoute = { .mSenderEpoch = Epoch{ 1 } },
           .mRequest = RequestId{ aRequest },
           .mShardEpoch = Epoch{ 1 },
           .mTeam = TeamId{ "crews" },
           .mWorkload = WorkloadId{ "certificates" },
           .mPerTask = aNeed };
}

void
Measure(BenchResults& aResults, std::uint64_t aSeed)
{
  CellHooks hooks;
  hooks.mChooseOutcome = [](const protocol::TaskKey&, const WorkerId&) {
    return TaskOutcome{ .mRunTime = std::chrono::hours{ 1 } };
  };
  VirtualCell cell(
    BenchOptions(aSeed), MakeWorkers(kWorkers, 0), {}, std::move(hooks));
  // Occupies all cores but one of each worker, so that the tasks of two cores
  // below have to wait while small ones fit.
  protocol::PlaceTasks filler = MakePlaceTasks(
    "filler", { .mMilliCores = 63'000, .mMemoryMiB = 1'024, .mSlots = 1 });
  for (std::uint32_t index = 0; index < kWorkers; ++index) {
    filler.mIndexes.push_back(index);
  }
  cell.HandleEvent(filler);
  while (cell.PlacerUnderTest().HasMoreWork()) {
    cell.HandleEvent(placement::Tick{});
  }
  protocol::PlaceTasks waiting = MakePlaceTasks(
    "waiting", { .mMilliCores = 2'000, .mMemoryMiB = 1'024, .mSlots = 1 });
  for (std::uint32_t index = 0; index < kCancelledTasks; ++index) {
    waiting.mIndexes.push_back(index);
  }
  cell.HandleEvent(waiting);
  std::vector<double> cancelSeconds;
  std::vector<double> placementSeconds;
  std::uint32_t next = 0;
  int number = 0;
  while (next < kCancelledTasks) {
    protocol::CancelTasks cancel{ .mRoute = waiting.mRoute,
                                  .mShardEpoch = Epoch{ 1 } };
    for (std::uint32_t key = 0; key < kTasksPerMessage; ++key) {
      cancel.mTasks.push_back(
        { .mRequest = waiting.mRequest, .mIndex = next++, .mAttempt = 1 });
    }
    cancelSeconds.push_back(cell.HandleEvent(cancel));
    protocol::PlaceTasks small =
      MakePlaceTasks(fmt::format("small-{}", ++number),
                     { .mMilliCores = 500, .mMemoryMiB = 512, .mSlots = 1 });
    small.mIndexes = { 0 };
    placementSeconds.push_back(cell.HandleEvent(small));
  }
  double total = 0;
  for (const double seconds : cancelSeconds) {
    total += seconds;
  }
  aResults.Add("cancel.each_us", total / kCancelledTasks * kMicrosPerSecond);
  aResults.Add("cancel.total_ms", total * kMillisPerSecond);
  aResults.Add("cancel.longest_call_ms",
               *std::max_element(cancelSeconds.begin(), cancelSeconds.end()) *
                 kMillisPerSecond);
  aResults.Add("cancel.placement_meanwhile.p50_us",
               Quantile(placementSeconds, 0.5) * kMicrosPerSecond);
  aResults.Add("cancel.placement_meanwhile.longest_us",
               Quantile(placementSeconds, 1) * kMicrosPerSecond);
}

} // namespace

void
RunCancelBench(BenchResults& aResults)
{
  for (int repeat = 1; repeat <= kRepeats; ++repeat) {
    Measure(aResults, static_cast<std::uint64_t>(repeat));
  }
}

} // namespace oriolevane::bench
