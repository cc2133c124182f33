#include "mixbench.h"

#include <map>
#include <string>
#include <utility>

#include "arrivalorderscheduler.h"
#include "cells.h"
#include "virtualcell.h"

namespace oriolevane::bench {

using std::chrono::milliseconds;

namespace {

constexpr int kRepeats = 3;
constexpr std::size_t kWorkers = 48;

void
RunPlacer(BenchResults& aResults,
          const std::string& aName,
          const Trace& aTrace,
          const std::vector<protocol::WorkerInfo>& aWorkers,
          std::uint64_t aSeed)
{
  TraceMetrics metrics(aTrace, aWorkers);
  std::map<RequestId, const TraceItem*> itemsByRequest;
  for (const TraceItem& item : aTrace.mItems) {
    itemsByRequest[item.mPlaceTasks.mRequest] = &item;
  }
  TimePoint beginTime;
  std::vector<protocol::PlaceTasks> resubmissions;
  CellHooks hooks;
  hooks.mChooseOutcome = [&](const protocol::TaskKey& aKey, const WorkerId&) {
    return TaskOutcome{ .mRunTime =
                          itemsByRequest.at(aKey.mRequest)->mRunTime };
  };
  hooks.mOnStarted = [&](const protocol::TaskKey& aKey, TimePoint aAt) {
    metrics.RecordStart(
      aKey, std::chrono::duration_cast<milliseconds>(aAt - beginTime));
  };
  hooks.mOnEnded = [&](const protocol::TaskUpdate& aUpdate, TimePoint) {
    if (aUpdate.mReason == protocol::TaskEndReason::Preempted) {
      protocol::PlaceTasks placeTasks =
        itemsByRequest.at(aUpdate.mTask.mRequest)->mPlaceTasks;
      placeTasks.mIndexes = { aUpdate.mTask.mIndex };
      placeTasks.mAttempt = aUpdate.mTask.mAttempt + 1;
      resubmissions.push_back(std::move(placeTasks));
    }
  };
  VirtualCell cell(
    BenchOptions(aSeed), aWorkers, aTrace.mPolicy, std::move(hooks));
  beginTime = cell.Now();
  const auto resubmit = [&] {
    for (const protocol::PlaceTasks& placeTasks :
         std::exchange(resubmissions, {})) {
      cell.HandleEvent(placeTasks);
    }
  };
  milliseconds sampleAt = FirstSampleTime(aTrace);
  const auto sampleUntil = [&](milliseconds aTime) {
    for (; sampleAt <= aTime; sampleAt += kSampleInterval) {
      cell.AdvanceTo(beginTime + sampleAt);
      metrics.RecordUsage(cell.UsedResources());
      resubmit();
    }
  };
  for (const TraceItem& item : aTrace.mItems) {
    sampleUntil(item.mSubmitAt);
    cell.AdvanceTo(beginTime + item.mSubmitAt);
    resubmit();
    cell.HandleEvent(item.mPlaceTasks);
  }
  sampleUntil(aTrace.mLength);
  metrics.AddResults(aResults, aName);
}

void
RunArrivalOrder(BenchResults& aResults,
                const std::string& aName,
                const Trace& aTrace,
                const std::vector<protocol::WorkerInfo>& aWorkers,
                bool aBlocking)
{
  TraceMetrics metrics(aTrace, aWorkers);
  ArrivalOrderScheduler(aTrace, aWorkers, aBlocking, metrics).Run();
  metrics.AddResults(aResults, aName);
}

} // namespace

void
RunMixBench(BenchResults& aResults)
{
  for (int repeat = 1; repeat <= kRepeats; ++repeat) {
    const auto seed = static_cast<std::uint64_t>(repeat);
    const Trace hreinsun = MakeHreinsunTrace(seed);
    const std::vector<protocol::WorkerInfo> uniformWorkers =
      MakeWorkers(kWorkers, 0);
    RunPlacer(aResults, "hreinsun.core", hreinsun, uniformWorkers, seed);
    RunArrivalOrder(aResults, "hreinsun.fifo", hreinsun, uniformWorkers, true);
    RunArrivalOrder(
      aResults, "hreinsun.first_fit", hreinsun, uniformWorkers, false);
    const Trace lutheria = MakeLutheriaTrace(seed);
    const std::vector<protocol::WorkerInfo> mixedWorkers =
      MakeWorkers(kWorkers, 4);
    RunPlacer(aResults, "lutheria.core", lutheria, mixedWorkers, seed);
    RunArrivalOrder(aResults, "lutheria.fifo", lutheria, mixedWorkers, true);
    RunArrivalOrder(
      aResults, "lutheria.first_fit", lutheria, mixedWorkers, false);
  }
}

} // namespace oriolevane::bench
