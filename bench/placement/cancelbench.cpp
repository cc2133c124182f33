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
constexpr std::uint32_t kCancelled = 50'000;
constexpr std::uint32_t kPerMessage = 500;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMillisPerSecond = 1e3;

protocol::PlaceTasks
MakeOrder(const std::string& aRequest, const Resources& aNeed)
{
  return { .mRoute = { .mSenderEpoch = Epoch{ 1 } },
           .mRequest = RequestId{ aRequest },
           .mShardEpoch = Epoch{ 1 },
           .mTeam = TeamId{ "crews" },
           .mWorkload = WorkloadId{ "certificates" },
           .mPerTask = aNeed };
}

void
Measure(Figures& aFigures, std::uint64_t aSeed)
{
  CellHooks hooks;
  hooks.mCourse = [](const protocol::TaskKey&, const WorkerId&) {
    return Course{ .mRunTime = std::chrono::hours{ 1 } };
  };
  VirtualCell cell(
    BenchOptions(aSeed), MakeWorkers(kWorkers, 0), {}, std::move(hooks));
  // Fills each worker's processors but for one core, so that what follows
  // waits.
  protocol::PlaceTasks filler = MakeOrder(
    "filler", { .mMilliCores = 63'000, .mMemoryMiB = 1'024, .mSlots = 1 });
  for (std::uint32_t index = 0; index < kWorkers; ++index) {
    filler.mIndexes.push_back(index);
  }
  cell.Give(filler);
  while (cell.Core().HasMoreWork()) {
    cell.Give(placement::Tick{});
  }
  protocol::PlaceTasks waiting = MakeOrder(
    "waiting", { .mMilliCores = 2'000, .mMemoryMiB = 1'024, .mSlots = 1 });
  for (std::uint32_t index = 0; index < kCancelled; ++index) {
    waiting.mIndexes.push_back(index);
  }
  cell.Give(waiting);
  std::vector<double> cancels;
  std::vector<double> placements;
  std::uint32_t next = 0;
  int number = 0;
  while (next < kCancelled) {
    protocol::CancelTasks cancel{ .mRoute = waiting.mRoute,
                                  .mShardEpoch = Epoch{ 1 } };
    for (std::uint32_t key = 0; key < kPerMessage; ++key) {
      cancel.mTasks.push_back(
        { .mRequest = waiting.mRequest, .mIndex = next++, .mAttempt = 1 });
    }
    cancels.push_back(cell.Give(cancel));
    protocol::PlaceTasks small =
      MakeOrder(fmt::format("small-{}", ++number),
                { .mMilliCores = 500, .mMemoryMiB = 512, .mSlots = 1 });
    small.mIndexes = { 0 };
    placements.push_back(cell.Give(small));
  }
  double total = 0;
  for (const double seconds : cancels) {
    total += seconds;
  }
  aFigures.Add("cancel.each_us", total / kCancelled * kMicrosPerSecond);
  aFigures.Add("cancel.total_ms", total * kMillisPerSecond);
  aFigures.Add("cancel.longest_call_ms",
               *std::max_element(cancels.begin(), cancels.end()) *
                 kMillisPerSecond);
  aFigures.Add("cancel.placement_meanwhile.p50_us",
               Quantile(placements, 0.5) * kMicrosPerSecond);
  aFigures.Add("cancel.placement_meanwhile.longest_us",
               Quantile(placements, 1) * kMicrosPerSecond);
}

} // namespace

void
RunCancelBench(Figures& aFigures)
{
  for (int repeat = 1; repeat <= kRepeats; ++repeat) {
    Measure(aFigures, static_cast<std::uint64_t>(repeat));
  }
}

} // namespace oriolevane::bench
