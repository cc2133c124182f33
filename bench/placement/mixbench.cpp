#include "mixbench.h"

#include <algorithm>
#include <array>
#include <list>
#include <queue>
#include <set>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "baselines.h"
#include "cells.h"
#include "traces.h"
#include "virtualcell.h"

namespace oriolevane::bench {

using std::chrono::milliseconds;

namespace {

constexpr int kRepeats = 3;
constexpr std::size_t kWorkers = 48;
// Waiting tasks that first fit looks at when something ends.
constexpr std::size_t kLookedAt = 1'000;
constexpr milliseconds kSampleEvery{ 10'000 };
constexpr double kMillisPerSecond = 1000;
constexpr std::array<std::string_view, 3> kUrgencies{ "low",
                                                      "normal",
                                                      "urgent" };

// What a run is judged by; times are seconds from the start of the trace.
class Judge
{
public:
  Judge(const Trace& aTrace, const std::vector<protocol::WorkerInfo>& aWorkers)
    : mTrace(aTrace)
    , mWorkers(aWorkers)
  {
    for (const TraceItem& item : aTrace.mItems) {
      mItems[item.mOrder.mRequest] = &item;
    }
  }

  // Waits count once for each task, at its first start.
  void Started(const protocol::TaskKey& aKey, milliseconds aAt)
  {
    const TraceItem& item = *mItems.at(aKey.mRequest);
    if (!mStarted.insert({ aKey.mRequest, aKey.mIndex }).second) {
      return;
    }
    const double wait =
      static_cast<double>((aAt - item.mSubmitAt).count()) / kMillisPerSecond;
    mWaits[static_cast<std::size_t>(item.mOrder.mUrgency)].push_back(wait);
    const std::optional<milliseconds> deadline = DeadlineOf(item);
    if (deadline.has_value() && aAt + item.mRunTime <= *deadline) {
      ++mKept;
    }
  }

  void Sample(const std::vector<Resources>& aUsed)
  {
    ++mSamples;
    for (std::size_t worker = 0; worker < mWorkers.size(); ++worker) {
      const Resources& capacity = mWorkers[worker].mCapacity;
      const Resources free = capacity - aUsed[worker];
      mCapacity += capacity;
      mUsed += aUsed[worker];
      const bool isExhausted =
        free.mSlots < 1 || free.mMilliCores < 1'000 || free.mMemoryMiB < 4'096;
      if (isExhausted) {
        mStranded += free;
      }
    }
  }

  // Tasks that never started wait until the end of the trace.
  void Report(Figures& aFigures, const std::string& aName)
  {
    std::uint64_t withDeadline = 0;
    for (const TraceItem& item : mTrace.mItems) {
      const auto urgency = static_cast<std::size_t>(item.mOrder.mUrgency);
      for (const std::uint32_t index : item.mOrder.mIndexes) {
        withDeadline += DeadlineOf(item).has_value() ? 1 : 0;
        if (!mStarted.contains({ item.mOrder.mRequest, index })) {
          const milliseconds wait = mTrace.mLength - item.mSubmitAt;
          mWaits[urgency].push_back(static_cast<double>(wait.count()) /
                                    kMillisPerSecond);
        }
      }
    }
    for (std::size_t urgency = 0; urgency < kUrgencies.size(); ++urgency) {
      const std::string name =
        fmt::format("{}.wait.{}", aName, kUrgencies[urgency]);
      aFigures.Add(name + ".p50_s", Quantile(mWaits[urgency], 0.5));
      aFigures.Add(name + ".p99_s", Quantile(mWaits[urgency], 0.99));
    }
    aFigures.Add(aName + ".started", static_cast<double>(mStarted.size()));
    aFigures.Add(aName + ".missed_deadlines",
                 withDeadline == 0 ? 0
                                   : 1 - static_cast<double>(mKept) /
                                           static_cast<double>(withDeadline));
    ReportShares(aFigures, aName);
  }

private:
  // Nothing when the trace ends before it.
  std::optional<milliseconds> DeadlineOf(const TraceItem& aItem) const
  {
    if (!aItem.mOrder.mTimeToDeadline.has_value()) {
      return std::nullopt;
    }
    const milliseconds deadline =
      aItem.mSubmitAt + *aItem.mOrder.mTimeToDeadline;
    return deadline <= mTrace.mLength ? std::optional(deadline) : std::nullopt;
  }

  void ReportShares(Figures& aFigures, const std::string& aName) const
  {
    const auto add = [&](std::string_view aResource,
                         std::int64_t Resources::*aAmount) {
      const auto capacity = static_cast<double>(mCapacity.*aAmount);
      if (capacity > 0) {
        aFigures.Add(fmt::format("{}.granted.{}", aName, aResource),
                     static_cast<double>(mUsed.*aAmount) / capacity);
        aFigures.Add(fmt::format("{}.stranded.{}", aName, aResource),
                     static_cast<double>(mStranded.*aAmount) / capacity);
      }
    };
    add("cores", &Resources::mMilliCores);
    add("memory", &Resources::mMemoryMiB);
    add("accelerators", &Resources::mAccelerators);
  }

  const Trace& mTrace;
  const std::vector<protocol::WorkerInfo>& mWorkers;
  std::map<RequestId, const TraceItem*> mItems;
  std::set<std::pair<RequestId, std::uint32_t>> mStarted;
  std::array<std::vector<double>, kUrgencies.size()> mWaits;
  std::uint64_t mKept = 0;
  int mSamples = 0;
  Resources mCapacity;
  Resources mUsed;
  Resources mStranded;
};

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
  milliseconds sampleAt = aTrace.mLength / 4;
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

// A scheduler without priorities over the same trace: in order of arrival, and
// with aBlocking nothing passes the head of the queue.
void
RunArrivalOrder(Figures& aFigures,
                const std::string& aName,
                const Trace& aTrace,
                const std::vector<protocol::WorkerInfo>& aWorkers,
                bool aBlocking)
{
  struct Running
  {
    milliseconds mEnd;
    std::size_t mWorker = 0;
    Resources mNeed;
    bool operator<(const Running& aOther) const { return mEnd > aOther.mEnd; }
  };
  Judge judge(aTrace, aWorkers);
  std::vector<Resources> free;
  for (const protocol::WorkerInfo& worker : aWorkers) {
    free.push_back(worker.mCapacity);
  }
  std::priority_queue<Running> running;
  std::list<const TraceItem*> queue;
  const auto place = [&](const TraceItem& aItem, milliseconds aNow) {
    std::vector<std::size_t> chosen;
    for (std::size_t task = 0; task < aItem.mOrder.mIndexes.size(); ++task) {
      const std::optional<std::size_t> worker =
        FirstFit(free, aItem.mOrder.mPerTask);
      if (!worker.has_value()) {
        for (const std::size_t taken : chosen) {
          free[taken] += aItem.mOrder.mPerTask;
        }
        return false;
      }
      free[*worker] -= aItem.mOrder.mPerTask;
      chosen.push_back(*worker);
    }
    for (std::size_t task = 0; task < chosen.size(); ++task) {
      running.push({ .mEnd = aNow + aItem.mRunTime,
                     .mWorker = chosen[task],
                     .mNeed = aItem.mOrder.mPerTask });
      judge.Started({ .mRequest = aItem.mOrder.mRequest,
                      .mIndex = aItem.mOrder.mIndexes[task],
                      .mAttempt = 1 },
                    aNow);
    }
    return true;
  };
  const auto pass = [&](milliseconds aNow) {
    std::size_t seen = 0;
    for (auto item = queue.begin(); item != queue.end() && seen < kLookedAt;
         ++seen) {
      if (place(**item, aNow)) {
        item = queue.erase(item);
      } else if (aBlocking) {
        return;
      } else {
        ++item;
      }
    }
  };
  const auto advance = [&](milliseconds aTime) {
    while (!running.empty() && running.top().mEnd <= aTime) {
      const Running ended = running.top();
      running.pop();
      free[ended.mWorker] += ended.mNeed;
      pass(ended.mEnd);
    }
  };
  milliseconds sampleAt = aTrace.mLength / 4;
  const auto sampleUntil = [&](milliseconds aTime) {
    for (; sampleAt <= aTime; sampleAt += kSampleEvery) {
      advance(sampleAt);
      std::vector<Resources> used;
      for (std::size_t worker = 0; worker < free.size(); ++worker) {
        used.push_back(aWorkers[worker].mCapacity - free[worker]);
      }
      judge.Sample(used);
    }
  };
  for (const TraceItem& item : aTrace.mItems) {
    sampleUntil(item.mSubmitAt);
    advance(item.mSubmitAt);
    queue.push_back(&item);
    if (!aBlocking || queue.size() == 1) {
      if (place(item, item.mSubmitAt)) {
        queue.pop_back();
      }
    }
  }
  sampleUntil(aTrace.mLength);
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
