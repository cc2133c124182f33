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
constexpr milliseconds kLength{ 300'000 };
constexpr milliseconds kGap{ 100 };
constexpr milliseconds kFailsAfter{ 50 };
// Tasks fail by their own fault this often.
constexpr double kUsualFailures = 0.02;

protocol::PlaceTasks
MakeOrder(std::uint64_t aNumber)
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
Measure(Figures& aFigures, bool aQuarantine, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::map<protocol::TaskKey, WorkerId> places;
  std::vector<protocol::PlaceTasks> again;
  const WorkerId bad{ "w-00007" };
  std::uint64_t attempts = 0;
  std::uint64_t lost = 0;
  CellHooks hooks;
  hooks.mCourse = [&](const protocol::TaskKey& aKey, const WorkerId& aWorker) {
    ++attempts;
    const bool isBad = aWorker == bad;
    lost += isBad ? 1 : 0;
    places[aKey] = aWorker;
    const double draw = static_cast<double>(random() % 10'000) / 10'000;
    return Course{ .mRunTime = isBad
                                 ? kFailsAfter
                                 : milliseconds{ 5'000 + random() % 40'000 },
                   .mFails = isBad || draw < kUsualFailures };
  };
  hooks.mEnded = [&](const protocol::TaskUpdate& aUpdate, TimePoint) {
    if (aUpdate.mState == protocol::TaskState::Failed) {
      protocol::PlaceTasks order = MakeOrder(0);
      order.mRequest = aUpdate.mTask.mRequest;
      order.mAttempt = aUpdate.mTask.mAttempt + 1;
      order.mAvoid = { places.at(aUpdate.mTask) };
      again.push_back(std::move(order));
    }
  };
  placement::PlacerOptions options = BenchOptions(aSeed);
  options.mQuarantine = aQuarantine;
  VirtualCell cell(options, MakeWorkers(kWorkers, 0), {}, std::move(hooks));
  const TimePoint begin = cell.Now();
  std::uint64_t number = 0;
  for (milliseconds at{ 0 }; at < kLength; at += kGap) {
    cell.AdvanceTo(begin + at);
    for (const protocol::PlaceTasks& order : std::exchange(again, {})) {
      cell.Give(order);
    }
    cell.Give(MakeOrder(++number));
  }
  const std::string name =
    aQuarantine ? "bad_worker.quarantine" : "bad_worker.no_quarantine";
  aFigures.Add(name + ".lost_share",
               static_cast<double>(lost) / static_cast<double>(attempts));
  aFigures.Add(name + ".lost_attempts", static_cast<double>(lost));
}

} // namespace

void
RunLossBench(Figures& aFigures)
{
  for (int repeat = 1; repeat <= kRepeats; ++repeat) {
    Measure(aFigures, true, static_cast<std::uint64_t>(repeat));
    Measure(aFigures, false, static_cast<std::uint64_t>(repeat));
  }
}

} // namespace oriolevane::bench
