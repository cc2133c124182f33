#include "judge.h"

#include <fmt/format.h>

namespace oriolevane::bench {

using std::chrono::milliseconds;

namespace {

constexpr double kMillisPerSecond = 1000;
constexpr std::array<std::string_view, 3> kUrgencyNames{ "low",
                                                         "normal",
                                                         "urgent" };

} // namespace

Judge::Judge(const Trace& aTrace,
             const std::vector<protocol::WorkerInfo>& aWorkers)
  : mTrace(aTrace)
  , mWorkers(aWorkers)
{
  for (const TraceItem& item : aTrace.mItems) {
    mItems[item.mOrder.mRequest] = &item;
  }
}

void
Judge::Started(const protocol::TaskKey& aKey, milliseconds aAt)
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

void
Judge::Sample(const std::vector<Resources>& aUsed)
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
Judge::Report(Figures& aFigures, const std::string& aName)
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
  for (std::size_t urgency = 0; urgency < kUrgencies; ++urgency) {
    const std::string name =
      fmt::format("{}.wait.{}", aName, kUrgencyNames[urgency]);
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

std::optional<milliseconds>
Judge::DeadlineOf(const TraceItem& aItem) const
{
  if (!aItem.mOrder.mTimeToDeadline.has_value()) {
    return std::nullopt;
  }
  const milliseconds deadline = aItem.mSubmitAt + *aItem.mOrder.mTimeToDeadline;
  return deadline <= mTrace.mLength ? std::optional(deadline) : std::nullopt;
}

void
Judge::ReportShares(Figures& aFigures, const std::string& aName) const
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

} // namespace oriolevane::bench
