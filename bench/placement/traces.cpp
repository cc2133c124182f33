#include "traces.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

#include <fmt/format.h>

namespace oriolevane::bench {

using policy::Spread;
using policy::WorkloadPolicy;
using protocol::Urgency;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr double kLargestError = 4;
constexpr std::int64_t kMostMilliCores = 60'000;
constexpr std::int64_t kMostMemoryMiB = 240'000;

struct Kind
{
  std::string mWorkload;
  std::string mTeam;
  Urgency mUrgency = Urgency::Normal;
  Resources mNeed;
  milliseconds mLeast{ 0 };
  milliseconds mMost{ 0 };
  bool mService = false;
  bool mNeverRepeat = false;
  std::uint32_t mTasks = 1;
};

class TraceMaker
{
public:
  explicit TraceMaker(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  // One request at this time; aDeadline is the end of the trace's time at which
  // its answer loses its use, zero for none.
  void Add(const Kind& aKind, milliseconds aAt, milliseconds aDeadline)
  {
    const double span =
      static_cast<double>((aKind.mMost - aKind.mLeast).count());
    const milliseconds runTime =
      aKind.mLeast + milliseconds{ static_cast<std::int64_t>(Draw() * span) };
    TraceItem item{ .mSubmitAt = aAt, .mRunTime = runTime };
    protocol::PlaceTasks& order = item.mOrder;
    order.mRoute.mSenderEpoch = Epoch{ 1 };
    order.mRequest = RequestId{ fmt::format("{:06}", ++mNumber) };
    for (std::uint32_t index = 0; index < aKind.mTasks; ++index) {
      order.mIndexes.push_back(index);
    }
    order.mShardEpoch = Epoch{ 1 };
    order.mTogether = aKind.mTasks > 1 && !aKind.mService;
    order.mTeam = TeamId{ aKind.mTeam };
    order.mWorkload = WorkloadId{ aKind.mWorkload };
    order.mUrgency = aKind.mUrgency;
    order.mNeverRepeat = aKind.mNeverRepeat;
    order.mService = aKind.mService;
    order.mPerTask = aKind.mNeed;
    order.mPerTask.mMilliCores =
      std::min(Misjudge(aKind.mNeed.mMilliCores), kMostMilliCores);
    order.mPerTask.mMemoryMiB =
      std::min(Misjudge(aKind.mNeed.mMemoryMiB), kMostMemoryMiB);
    order.mExpectedRunTime = milliseconds{ Misjudge(runTime.count()) };
    if (aDeadline.count() > 0) {
      order.mTimeToDeadline = aDeadline - aAt;
    }
    mItems.push_back(std::move(item));
  }

  // A stream with exponential gaps between two times.
  void AddStream(const Kind& aKind,
                 double aPerSecond,
                 milliseconds aFrom,
                 milliseconds aTo,
                 milliseconds aTimeToDeadline,
                 milliseconds aFixedDeadline)
  {
    double at = static_cast<double>(aFrom.count());
    while (true) {
      at += -std::log(1 - Draw()) * 1000 / aPerSecond;
      const milliseconds now{ static_cast<std::int64_t>(at) };
      if (now >= aTo) {
        return;
      }
      const bool isFixed = aFixedDeadline.count() > 0;
      const bool isRelative = aTimeToDeadline.count() > 0;
      Add(aKind,
          now,
          isFixed      ? aFixedDeadline
          : isRelative ? now + aTimeToDeadline
                       : milliseconds{ 0 });
    }
  }

  std::vector<TraceItem> Take()
  {
    std::stable_sort(mItems.begin(),
                     mItems.end(),
                     [](const TraceItem& aLeft, const TraceItem& aRight) {
                       return aLeft.mSubmitAt < aRight.mSubmitAt;
                     });
    return std::move(mItems);
  }

  double Draw() { return static_cast<double>(mRandom() >> 11U) * 0x1.0p-53; }

private:
  std::int64_t Misjudge(std::int64_t aTrue)
  {
    const double factor = std::pow(kLargestError, 2 * Draw() - 1);
    return std::max<std::int64_t>(
      1, std::llround(static_cast<double>(aTrue) * factor));
  }

  std::mt19937_64 mRandom;
  std::uint64_t mNumber = 0;
  std::vector<TraceItem> mItems;
};

void
AddPolicy(Trace& aTrace,
          const std::string& aWorkload,
          milliseconds aToleratedWait,
          const policy::PlacementWeights& aWeights,
          Spread aSpread,
          bool aPreemptible)
{
  const WorkloadId workload{ aWorkload };
  aTrace.mPolicy.mWorkloads[workload] =
    WorkloadPolicy{ .mWorkload = workload,
                    .mWeights = aWeights,
                    .mSpread = aSpread,
                    .mPreemptible = aPreemptible,
                    .mToleratedWait = aToleratedWait };
}

Resources
Need(std::int64_t aCores, std::int64_t aGiB, std::int64_t aAccelerators = 0)
{
  return { .mMilliCores = aCores * 1'000,
           .mMemoryMiB = aGiB * 1'024,
           .mAccelerators = aAccelerators,
           .mSlots = 1 };
}

} // namespace

Trace
MakeHreinsunTrace(std::uint64_t aSeed)
{
  Trace trace{ .mLength = hours{ 1 } };
  TraceMaker maker(aSeed);
  const Kind dispatch{ .mWorkload = "dispatch",
                       .mTeam = "operations",
                       .mNeed = Need(2, 8),
                       .mLeast = hours{ 10 },
                       .mMost = hours{ 10 },
                       .mService = true,
                       .mTasks = 12 };
  const Kind booking{ .mWorkload = "booking",
                      .mTeam = "operations",
                      .mUrgency = Urgency::Urgent,
                      .mNeed = Need(1, 1),
                      .mLeast = seconds{ 1 },
                      .mMost = seconds{ 3 },
                      .mNeverRepeat = true };
  const Kind certificate{ .mWorkload = "certificate",
                          .mTeam = "inspection",
                          .mNeed = Need(2, 4),
                          .mLeast = seconds{ 20 },
                          .mMost = seconds{ 60 } };
  const Kind routeSheet{ .mWorkload = "route-sheet",
                         .mTeam = "crews",
                         .mUrgency = Urgency::Urgent,
                         .mNeed = Need(4, 8),
                         .mLeast = seconds{ 30 },
                         .mMost = seconds{ 90 } };
  const Kind report{ .mWorkload = "report",
                     .mTeam = "office",
                     .mUrgency = Urgency::Low,
                     .mNeed = Need(8, 32),
                     .mLeast = minutes{ 2 },
                     .mMost = minutes{ 6 } };
  const milliseconds none{ 0 };
  const milliseconds end = trace.mLength;
  maker.Add(dispatch, none, none);
  maker.Add(dispatch, none, none);
  maker.AddStream(booking, 3, none, end, none, none);
  maker.AddStream(certificate, 2, none, end, minutes{ 10 }, none);
  maker.AddStream(routeSheet, 3.3, minutes{ 30 }, minutes{ 45 }, none, end);
  maker.AddStream(report, 0.7, none, end, none, none);
  trace.mItems = maker.Take();
  const policy::PlacementWeights weights{ .mPacking = 0.5, .mWaiting = 1.0 };
  AddPolicy(trace, "dispatch", minutes{ 1 }, weights, Spread::Zone, false);
  AddPolicy(trace, "booking", seconds{ 2 }, weights, Spread::None, false);
  AddPolicy(trace, "certificate", seconds{ 60 }, weights, Spread::None, false);
  AddPolicy(trace, "route-sheet", seconds{ 3 }, weights, Spread::None, false);
  AddPolicy(trace, "report", minutes{ 30 }, weights, Spread::None, true);
  return trace;
}

Trace
MakeLutheriaTrace(std::uint64_t aSeed)
{
  Trace trace{ .mLength = hours{ 2 } };
  TraceMaker maker(aSeed);
  const Kind encargos{ .mWorkload = "encargos",
                       .mTeam = "taller",
                       .mNeed = Need(2, 8),
                       .mLeast = hours{ 10 },
                       .mMost = hours{ 10 },
                       .mService = true,
                       .mTasks = 16 };
  const Kind model{ .mWorkload = "acoustic-model",
                    .mTeam = "acoustics",
                    .mUrgency = Urgency::Low,
                    .mNeed = Need(8, 32, 1),
                    .mLeast = minutes{ 10 },
                    .mMost = minutes{ 40 } };
  Kind gang = model;
  gang.mWorkload = "acoustic-ensemble";
  gang.mTasks = 4;
  const Kind match{ .mWorkload = "tonewood-match",
                    .mTeam = "archive",
                    .mNeed = Need(6, 40),
                    .mLeast = minutes{ 5 },
                    .mMost = minutes{ 15 },
                    .mNeverRepeat = true };
  const Kind preview{ .mWorkload = "preview",
                      .mTeam = "clients",
                      .mUrgency = Urgency::Urgent,
                      .mNeed = Need(2, 6),
                      .mLeast = seconds{ 5 },
                      .mMost = seconds{ 20 } };
  const milliseconds none{ 0 };
  maker.Add(encargos, none, none);
  constexpr int kBacklog = 1'500;
  for (int number = 0; number < kBacklog; ++number) {
    maker.Add(model, none, none);
    maker.Add(match, none, none);
    maker.Add(match, none, none);
    if (number % 20 == 0) {
      maker.Add(gang, none, none);
    }
  }
  maker.AddStream(preview, 1, none, trace.mLength, minutes{ 5 }, none);
  trace.mItems = maker.Take();
  const policy::PlacementWeights weights{ .mPacking = 1.0, .mWaiting = 0.2 };
  AddPolicy(trace, "encargos", minutes{ 1 }, weights, Spread::Zone, false);
  AddPolicy(trace, "acoustic-model", hours{ 4 }, weights, Spread::None, true);
  AddPolicy(
    trace, "acoustic-ensemble", hours{ 1 }, weights, Spread::None, false);
  AddPolicy(trace, "tonewood-match", hours{ 2 }, weights, Spread::None, false);
  AddPolicy(trace, "preview", seconds{ 3 }, weights, Spread::None, false);
  return trace;
}

} // namespace oriolevane::bench
