#include "decisionbench.h"

#include <array>
#include <chrono>
#include <string>

#include <fmt/format.h>

#include "baselines.h"
#include "cells.h"
#include "virtualcell.h"

namespace oriolevane::bench {

namespace {

constexpr std::array<std::size_t, 3> kWorkerCounts{ 48, 2'700, 27'000 };
constexpr int kRepeats = 3;
constexpr int kDecisions = 10'000;
// Average number of running tasks on a worker during the measurement.
constexpr double kTasksPerWorker = 6.5;
constexpr double kMicrosPerSecond = 1e6;

Resources
DrawResources(std::mt19937_64& aRandom)
{
  const std::array<Resources, 5> needs{
    Resources{ .mMilliCores = 1'000, .mMemoryMiB = 2'048, .mSlots = 1 },
    Resources{ .mMilliCores = 4'000, .mMemoryMiB = 8'192, .mSlots = 1 },
    Resources{ .mMilliCores = 8'000, .mMemoryMiB = 49'152, .mSlots = 1 },
    Resources{ .mMilliCores = 12'000,
               .mMemoryMiB = 32'768,
               .mAccelerators = 1,
               .mSlots = 1 },
    Resources{ .mMilliCores = 2'500, .mMemoryMiB = 3'000, .mSlots = 1 }
  };
  return needs[aRandom() % needs.size()];
}

protocol::PlaceTasks
MakePlaceTasks(std::uint64_t aNumber, const Resources& aNeed)
{
  return { .mRoute = { .mPartition = PartitionId{ static_cast<std::uint32_t>(
                         aNumber % 16) },
                       .mSenderEpoch = Epoch{ 1 } },
           .mRequest = RequestId{ fmt::format("request-{:08}", aNumber) },
           .mIndexes = { 0 },
           .mShardEpoch = Epoch{ 1 },
           .mTeam = TeamId{ fmt::format("team-{}", aNumber % 20) },
           .mWorkload = WorkloadId{ fmt::format("workload-{}", aNumber % 5) },
           .mPerTask = aNeed,
           .mExpectedRunTime = std::chrono::seconds{ 30 },
           .mPayload = "{}" };
}

void
AddDurations(BenchResults& aResults,
             const std::string& aName,
             std::vector<double>& aSeconds)
{
  double total = 0;
  for (const double seconds : aSeconds) {
    total += seconds;
  }
  aResults.Add(aName + ".per_second",
               static_cast<double>(aSeconds.size()) / total);
  aResults.Add(aName + ".p50_us", Quantile(aSeconds, 0.5) * kMicrosPerSecond);
  aResults.Add(aName + ".p99_us", Quantile(aSeconds, 0.99) * kMicrosPerSecond);
  aResults.Add(aName + ".p999_us",
               Quantile(aSeconds, 0.999) * kMicrosPerSecond);
}

void
MeasurePlacer(BenchResults& aResults, std::size_t aWorkers, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  CellHooks hooks;
  hooks.mChooseOutcome = [&random](const protocol::TaskKey&, const WorkerId&) {
    return TaskOutcome{ .mRunTime = std::chrono::milliseconds{
                          1'000 + random() % 100'000 } };
  };
  VirtualCell cell(
    BenchOptions(aSeed), MakeWorkers(aWorkers, 4), {}, std::move(hooks));
  std::uint64_t number = 0;
  const auto targetCount =
    static_cast<std::size_t>(static_cast<double>(aWorkers) * kTasksPerWorker);
  while (cell.ScheduledEndCount() < targetCount) {
    cell.HandleEvent(MakePlaceTasks(++number, DrawResources(random)));
  }
  std::vector<double> seconds;
  for (int decision = 0; decision < kDecisions; ++decision) {
    cell.FinishNextTask();
    seconds.push_back(
      cell.HandleEvent(MakePlaceTasks(++number, DrawResources(random))));
  }
  AddDurations(aResults, fmt::format("decision.{}.core", aWorkers), seconds);
}

template<typename Fit>
void
MeasureBaseline(BenchResults& aResults,
                const std::string& aName,
                std::size_t aWorkers,
                std::uint64_t aSeed,
                const Fit& aFit)
{
  struct RunningTask
  {
    std::size_t mWorker = 0;
    Resources mNeed;
  };
  std::mt19937_64 random(aSeed);
  std::vector<Resources> free;
  for (const protocol::WorkerInfo& worker : MakeWorkers(aWorkers, 4)) {
    free.push_back(worker.mCapacity);
  }
  std::vector<RunningTask> running;
  std::vector<double> seconds;
  const auto targetCount =
    static_cast<std::size_t>(static_cast<double>(aWorkers) * kTasksPerWorker);
  // Fills one worker after the other, as first fit would.
  for (std::size_t worker = 0; running.size() < targetCount;) {
    const Resources need = DrawResources(random);
    if (need.FitsIn(free[worker])) {
      free[worker] -= need;
      running.push_back({ .mWorker = worker, .mNeed = need });
    } else {
      worker = (worker + 1) % aWorkers;
    }
  }
  while (seconds.size() < kDecisions) {
    const std::size_t ended = random() % running.size();
    free[running[ended].mWorker] += running[ended].mNeed;
    running[ended] = running.back();
    running.pop_back();
    const Resources need = DrawResources(random);
    const auto begin = std::chrono::steady_clock::now();
    const std::optional<std::size_t> worker = aFit(free, need, random);
    const auto end = std::chrono::steady_clock::now();
    if (worker.has_value()) {
      free[*worker] -= need;
      running.push_back({ .mWorker = *worker, .mNeed = need });
    }
    seconds.push_back(std::chrono::duration<double>(end - begin).count());
  }
  AddDurations(aResults, aName, seconds);
}

} // namespace

void
RunDecisionBench(BenchResults& aResults)
{
  const auto firstFit = [](const std::vector<Resources>& aFree,
                           const Resources& aNeed,
                           std::mt19937_64&) { return FirstFit(aFree, aNeed); };
  for (const std::size_t workers : kWorkerCounts) {
    for (int repeat = 1; repeat <= kRepeats; ++repeat) {
      const auto seed = static_cast<std::uint64_t>(repeat);
      MeasurePlacer(aResults, workers, seed);
      MeasureBaseline(aResults,
                      fmt::format("decision.{}.first_fit", workers),
                      workers,
                      seed,
                      firstFit);
      MeasureBaseline(aResults,
                      fmt::format("decision.{}.random_fit", workers),
                      workers,
                      seed,
                      RandomFit);
    }
  }
}

} // namespace oriolevane::bench
