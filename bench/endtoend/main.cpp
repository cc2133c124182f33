// Prints name=value lines of a cell of separate processes: idle, then under
// closed-loop loads of several sizes.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "endtoend/nodeusage.h"
#include "integration/cell.h"

DEFINE_int32(nodes, 4, "entry hosts");
DEFINE_int32(workers, 48, "workers");
DEFINE_int32(seconds, 8, "length of each part");

namespace oriolevane::bench {

using integration::Cell;
using nlohmann::json;

namespace {

struct Load
{
  std::vector<double> mMillis;
  int mRefused = 0;
  int mBroken = 0;
};

double
Quantile(std::vector<double> aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(aSorted.size() - 1));
  return aSorted[index];
}

Load
RunLoad(const Cell& aCell,
        int aCallers,
        bool aNeverRepeat,
        const std::string& aName)
{
  Load load;
  std::mutex mutex;
  std::vector<std::thread> callers;
  callers.reserve(static_cast<std::size_t>(aCallers));
  const auto end =
    std::chrono::steady_clock::now() + std::chrono::seconds(FLAGS_seconds);
  for (int caller = 0; caller < aCallers; ++caller) {
    callers.emplace_back([&, caller] {
      const json body{
        { "team", "kitchens" },
        { "workload", "booking" },
        { "wait", true },
        { "never_repeat", aNeverRepeat },
        { "run_time_ms", 20 },
        { "payload", { { "runMs", 20 }, { "answer", "done" } } }
      };
      for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
        const auto start = std::chrono::steady_clock::now();
        const auto result =
          aCell.Submit(caller % aCell.NodeCount(),
                       fmt::format("{}-{}-{}", aName, caller, number),
                       body);
        const std::chrono::duration<double, std::milli> took =
          std::chrono::steady_clock::now() - start;
        const std::lock_guard lock(mutex);
        if (result.mStatus == 200) {
          load.mMillis.push_back(took.count());
        } else {
          ++(result.mStatus == 0 ? load.mBroken : load.mRefused);
        }
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::sort(load.mMillis.begin(), load.mMillis.end());
  return load;
}

void
Print(const std::string& aPart, const std::string& aName, double aValue)
{
  fmt::print("{}.{}={:.3f}\n", aPart, aName, aValue);
  std::fflush(stdout);
}

void
PrintUsage(const std::string& aPart,
           const NodeUsage& aBefore,
           const NodeUsage& aAfter,
           double aSeconds)
{
  const double nodes = FLAGS_nodes;
  const double share =
    (aAfter.mProcessorTime - aBefore.mProcessorTime).count() / aSeconds / nodes;
  Print(aPart, "processor_percent_per_node", 100 * share);
  Print(aPart, "resident_mib_per_node", aAfter.mResidentMiB / nodes);
  Print(aPart,
        "peer_kb_per_s_per_node",
        (aAfter.mPeerBytesOut - aBefore.mPeerBytesOut) / aSeconds / nodes /
          1e3);
  Print(aPart,
        "control_kb_per_s_per_node",
        (aAfter.mControlBytesOut - aBefore.mControlBytesOut) / aSeconds /
          nodes / 1e3);
  Print(aPart,
        "store_writes_per_s",
        (aAfter.mStoreWrites - aBefore.mStoreWrites) / aSeconds);
}

void
MeasurePart(const Cell& aCell,
            const std::string& aPart,
            int aCallers,
            bool aNeverRepeat)
{
  const NodeUsage before = Measure(aCell);
  const auto start = std::chrono::steady_clock::now();
  const Load load = RunLoad(aCell, aCallers, aNeverRepeat, aPart);
  const std::chrono::duration<double> took =
    std::chrono::steady_clock::now() - start;
  PrintUsage(aPart, before, Measure(aCell), took.count());
  Print(aPart,
        "ran_per_s",
        static_cast<double>(load.mMillis.size()) / took.count());
  Print(aPart, "p50_ms", Quantile(load.mMillis, 0.5));
  Print(aPart, "p99_ms", Quantile(load.mMillis, 0.99));
  Print(aPart, "refused", load.mRefused);
  Print(aPart, "broken", load.mBroken);
}

void
MeasureIdle(const Cell& aCell)
{
  // Rebalancing after the start is over by then.
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
  const NodeUsage before = Measure(aCell);
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
  PrintUsage("idle", before, Measure(aCell), FLAGS_seconds);
}

} // namespace

} // namespace oriolevane::bench

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const oriolevane::integration::Cell cell(
    { .mNodes = FLAGS_nodes, .mWorkers = FLAGS_workers });
  oriolevane::bench::MeasureIdle(cell);
  oriolevane::bench::MeasurePart(cell, "repeatable_8", 8, false);
  oriolevane::bench::MeasurePart(cell, "repeatable_32", 32, false);
  oriolevane::bench::MeasurePart(cell, "repeatable_96", 96, false);
  oriolevane::bench::MeasurePart(cell, "never_repeat_96", 96, true);
  return 0;
}
