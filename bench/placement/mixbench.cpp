#include "mixbench.h"

#include <map>
#include <string>
#include <utility>

#include "arrivalorder.h"
#include "cells.h"
#include "virtualcell.h"

namespace oriolevane::bench {

using std::chrono::milliseconds;

namespace {

constexpr int kRepeats = 3;
constexpr std::size_t kWorkers = 48;

void
RunCore(Figures& aFigures,
        const std::string& aName,
        const Trace& aTrace,
        const std::vector<protocol::WorkerInfo>& aWorkers,
        std::uint64_t aSeed)
{
  Judge judge(aTrace, aWorkers);
  std::map<RequestId, const TraceItem*> items;
  for (const TraceItem& item : aTrace.mItems) {
    items[item.mOrder.mRequest] = &item;
  }
  TimePoint begin;
  std::vector<protocol::PlaceTasks> again;
  CellHooks hooks;
  hooks.mCourse = [&](const protocol::TaskKey& aKey, const WorkerId&) {
    return Course{ .mRunTime = items.at(aKey.mRequest)->mRunTime };
  };
  hooks.mStarted = [&](const protocol::TaskKey& aKey, TimePoint aAt) {
    judge.Started(aKey, std::chrono::duration_cast<milliseconds>(aAt - begin));
  };
  hooks.mEnded = [&](const protocol::TaskUpdate& aUpdate, TimePoint) {
    if (aUpdate.mReason == protocol::TaskEndReason::Preempted) {
      protocol::PlaceTasks order = items.at(aUpdate.mTask.mRequest)->mOrder;
      order.mIndexes = { aUpdate.mTask.mIndex };
      order.mAttempt = aUpdate.mTask.mAttempt + 1;
      again.push_back(std::move(order));
    }
  };
  VirtualCell cell(
    BenchOptions(aSeed), aWorkers, aTrace.mPolicy, std::move(hooks));
  begin = cell.Now();
  const auto submitAgain = [&] {
    for (const protocol::PlaceTasks& order : std::exchange(again, {})) {
      cell.Give(order);
    }
  };
  milliseconds sampleAt = FirstSample(aTrace);
  const auto sampleUntil = [&](milliseconds aTime) {
    for (; sampleAt <= aTime; sampleAt += kSampleEvery) {
      cell.AdvanceTo(begin + sampleAt);
      judge.Sample(cell.Used());
      submitAgain();
    }
  };
  for (const TraceItem& item : aTrace.mItems) {
    sampleUntil(item.mSubmitAt);
    cell.AdvanceTo(begin + item.mSubmitAt);
    submitAgain();
    cell.Give(item.mOrder);
  }
  sampleUntil(aTrace.mLength);
  judge.Report(aFigures, aName);
}

void
RunArrivalOrder(Figures& aFigures,
                const std::string& aName,
                const Trace& aTrace,
                const std::vector<protocol::WorkerInfo>& aWorkers,
                bool aBlocking)
{
  Judge judge(aTrace, aWorkers);
  ArrivalOrder(aTrace, aWorkers, aBlocking, judge).Run();
  judge.Report(aFigures, aName);
}

} // namespace

void
RunMixBench(Figures& aFigures)
{
  for (int repeat = 1; repeat <= kRepeats; ++repeat) {
    const auto seed = static_cast<std::uint64_t>(repeat);
    const Trace hreinsun = MakeHreinsunTrace(seed);
    const std::vector<protocol::WorkerInfo> plain = MakeWorkers(kWorkers, 0);
    RunCore(aFigures, "hreinsun.core", hreinsun, plain, seed);
    RunArrivalOrder(aFigures, "hreinsun.fifo", hreinsun, plain, true);
    RunArrivalOrder(aFigures, "hreinsun.first_fit", hreinsun, plain, false);
    const Trace lutheria = MakeLutheriaTrace(seed);
    const std::vector<protocol::WorkerInfo> mixed = MakeWorkers(kWorkers, 4);
    RunCore(aFigures, "lutheria.core", lutheria, mixed, seed);
    RunArrivalOrder(aFigures, "lutheria.fifo", lutheria, mixed, true);
    RunArrivalOrder(aFigures, "lutheria.first_fit", lutheria, mixed, false);
  }
}

} // namespace oriolevane::bench
