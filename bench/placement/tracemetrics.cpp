#include "tracemetrics.h"

#include <fmt/format.h>

namespace oriolevane::bench {

using std::chrono::milliseconds;

namespace {

constexpr double kMillisPerSecond = 1000;
constexpr std::array<std::string_view, 3> kUrgencyNames{ "low",
                                                         "normal",
                                                         "urgent" };

} // namespace

TraceMetrics::TraceMetrics(const Trace& aTrace,
                           const std::vector<protocol::WorkerInfo>& aWorkers)
  : mTrace(aTrace)
  , mWorkers(aWorkers)
{
  for (const TraceItem& item : aTrace.mItems) {
    mItems[item.mPlaceTasks.mRequest] = &item;
  }
}

void
TraceMetrics::RecordStart(const protocol::TaskKey& aKey, milliseconds aAt)
{
  const TraceItem& item = *mItems.at(aKey.mRequest);
  if (!mStarted.insert({ aKey.mRequest, aKey.mIndex }).second) {
    return;
  }
  const double wait =
    static_cast<double>((aAt - item.mSubmitAt).count()) / kMillisPerSecond;
  mWaits[static_cast<std::size_t>(item.mPlaceTasks.mUrgency)].push_back(wait);
  const std::optional<milliseconds> deadline = DeadlineInTrace(item);
  if (deadline.has_value() && aAt + item.mRunTime <= *deadline) {
    ++mDeadlinesMet;
  }
}

void
TraceMetrics::RecordUsage(const std::vector<Resources>& aUsed)
{
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

void
TraceMetrics::AddResults(BenchResults& aResults, const std::string& aName)
{
  std::uint64_t withDeadline = 0;
  for (const TraceItem& item : mTrace.mItems) {
    const auto urgency = static_cast<std::size_t>(item.mPlaceTasks.mUrgency);
    for (const std::uint32_t index : item.mPlaceTasks.mIndexes) {
      withDeadline += DeadlineInTrace(item).has_value() ? 1 : 0;
      if (!mStarted.contains({ item.mPlaceTasks.mRequest, index })) {
        const milliseconds wait = mTrace.mLength - item.mSubmitAt;
        mWaits[urgency].push_back(static_cast<double>(wait.count()) /
                                  kMillisPerSecond);
      }
    }
  }
  for (std::size_t urgency = 0; urgency < kUrgencyCount; ++urgency) {
    const std::string name =
      fmt::format("{}.wait.{}", aName, kUrgencyNames[urgency]);
    aResults.Add(name + ".p50_s", Quantile(mWaits[urgency], 0.5));
    aResults.Add(name + ".p99_s", Quantile(mWaits[urgency], 0.99));
  }
  aResults.Add(aName + ".started", static_cast<double>(mStarted.size()));
  aResults.Add(aName + ".missed_deadlines",
               withDeadline == 0 ? 0
                                 : 1 - static_cast<double>(mDeadlinesMet) /
                                         static_cast<double>(withDeadline));
  AddShares(aResults, aName);
}

std::optional<milliseconds>
TraceMetrics::DeadlineInTrace(const TraceItem& aItem) const
{
  if (!aItem.mPlaceTasks.mTimeToDeadline.has_value()) {
    return std::nullopt;
  }
  const milliseconds deadline =
    aItem.mSubmitAt + *aItem.mPlaceTasks.mTimeToDeadline;
  return deadline <= mTrace.mLength ? std::optional(deadline) : std::nullopt;
}

void
TraceMetrics::AddShares(BenchResults& aResults, const std::string& aName) const
{
  const auto add = [&](std::string_view aResource,
                       std::int64_t Resources::*aAmount) {
    const auto capacity = static_cast<double>(mCapacity.*aAmount);
    if (capacity > 0) {
      aResults.Add(fmt::format("{}.granted.{}", aName, aResource),
                   static_cast<double>(mUsed.*aAmount) / capacity);
      aResults.Add(fmt::format("{}.stranded.{}", aName, aResource),
                   static_cast<double>(mStranded.*aAmount) / capacity);
    }
  };
  add("cores", &Resources::mMilliCores);
  add("memory", &Resources::mMemoryMiB);
  add("accelerators", &Resources::mAccelerators);
}

} // namespace oriolevane::bench
