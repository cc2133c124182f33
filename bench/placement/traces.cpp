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

// Largest factor between a declared and an actual value.
constexpr double kMaxErrorFactor = 4;
// Upper limits of declared amounts, so that each task fits on a worker.
constexpr std::int64_t kMaxMilliCores = 60'000;
constexpr std::int64_t kMaxMemoryMiB = 240'000;

// Requests of one workload with run times between two bounds.
struct RequestKind
{
  std::string mWorkload;
  std::string mTeam;
  Urgency mUrgency = Urgency::Normal;
  Resources mPerTask;
  milliseconds mMinRunTime{ 0 };
  milliseconds mMaxRunTime{ 0 };
  bool mService = false;
  bool mNeverRepeat = false;
  std::uint32_t mTasks = 1;
};

class TraceBuilder
{
public:
  explicit TraceBuilder(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  // Adds one request. aDeadline is the time, from the start of the trace, after
  // which its result is of no use; zero means no deadline.
  void AddRequest(const RequestKind& aKind,
                  milliseconds aSubmitAt,
                  milliseconds aDeadline)
  {
    const double span =
      static_cast<double>((aKind.mMaxRunTime - aKind.mMinRunTime).count());
    const milliseconds runTime =
      aKind.mMinRunTime +
      milliseconds{ static_cast<std::int64_t>(DrawUniform() * span) };
    TraceItem item{ .mSubmitAt = aSubmitAt, .mRunTime = runTime };
    protocol::PlaceTasks& placeTasks = item.mPlaceTasks;
    placeTasks.mRoute.mSenderEpoch = Epoch{ 1 };
    placeTasks.mRequest = RequestId{ fmt::format("{:06}", ++mRequestCount) };
    for (std::uint32_t index = 0; index < aKind.mTasks; ++index) {
      placeTasks.mIndexes.push_back(index);
    }
    placeTasks.mShardEpoch = Epoch{ 1 };
    placeTasks.mTogether = aKind.mTasks > 1 && !aKind.mService;
    placeTasks.mTeam = TeamId{ aKind.mTeam };
    placeTasks.mWorkload = WorkloadId{ aKind.mWorkload };
    placeTasks.mUrgency = aKind.mUrgency;
    placeTasks.mNeverRepeat = aKind.mNeverRepeat;
    placeTasks.mService = aKind.mService;
    placeTasks.mPerTask = aKind.mPerTask;
    placeTasks.mPerTask.mMilliCores =
      std::min(WithEstimationError(aKind.mPerTask.mMilliCores), kMaxMilliCores);
    placeTasks.mPerTask.mMemoryMiB =
      std::min(WithEstimationError(aKind.mPerTask.mMemoryMiB), kMaxMemoryMiB);
    placeTasks.mExpectedRunTime =
      milliseconds{ WithEstimationError(runTime.count()) };
    if (aDeadline.count() > 0) {
      placeTasks.mTimeToDeadline = aDeadline - aSubmitAt;
    }
    mItems.push_back(std::move(item));
  }

  // Adds a Poisson stream of requests between aFrom and aTo. All have
  // aFixedDeadline as their deadline, or aTimeToDeadline after their
  // submission; zero means that this deadline does not apply.
  void AddStream(const RequestKind& aKind,
                 double aPerSecond,
                 milliseconds aFrom,
                 milliseconds aTo,
                 milliseconds aTimeToDeadline,
                 milliseconds aFixedDeadline)
  {
    double submitAt = static_cast<double>(aFrom.count());
    while (true) {
      submitAt += -std::log(1 - DrawUniform()) * 1000 / aPerSecond;
      const milliseconds now{ static_cast<std::int64_t>(submitAt) };
      if (now >= aTo) {
        return;
      }
      const bool isFixed = aFixedDeadline.count() > 0;
      const bool isRelative = aTimeToDeadline.count() > 0;
      AddRequest(aKind,
                 now,
                 isFixed      ? aFixedDeadline
                 : isRelative ? now + aTimeToDeadline
                              : milliseconds{ 0 });
    }
  }

  // Returns all requests in the order of submission.
  std::vector<TraceItem> TakeItems()
  {
    std::stable_sort(mItems.begin(),
                     mItems.end(),
                     [](const TraceItem& aLeft, const TraceItem& aRight) {
                       return aLeft.mSubmitAt < aRight.mSubmitAt;
                     });
    return std::move(mItems);
  }

  // Draws from the uniform distribution over [0, 1).
  double DrawUniform()
  {
    return static_cast<double>(mRandom() >> 11U) * 0x1.0p-53;
  }

private:
  std::int64_t WithEstimationError(std::int64_t aActual)
  {
    const double factor = std::pow(kMaxErrorFactor, 2 * DrawUniform() - 1);
    return std::max<std::int64_t>(
      1, std::llround(static_cast<double>(aActual) * factor));
  }

  std::mt19937_64 mRandom;
  std::uint64_t mRequestCount = 0;
  std::vector<TraceItem> mItems;
};

void
AddWorkloadPolicy(Trace& aTrace,
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
MakeResources(std::int64_t aCores,
              std::int64_t aGiB,
              std::int64_t aAccelerators = 0)
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
  TraceBuilder builder(aSeed);
  const RequestKind dispatch{ .mWorkload = "dispatch",
                              .mTeam = "operations",
                              .mPerTask = MakeResources(2, 8),
                              .mMinRunTime = hours{ 10 },
                              .mMaxRunTime = hours{ 10 },
                              .mService = true,
                              .mTasks = 12 };
  const RequestKind booking{ .mWorkload = "booking",
                             .mTeam = "operations",
                             .mUrgency = Urgency::Urgent,
                             .mPerTask = MakeResources(1, 1),
                             .mMinRunTime = seconds{ 1 },
                             .mMaxRunTime = seconds{ 3 },
                             .mNeverRepeat = true };
  const RequestKind certificate{ .mWorkload = "certificate",
                                 .mTeam = "inspection",
                                 .mPerTask = MakeResources(2, 4),
                                 .mMinRunTime = seconds{ 20 },
                                 .mMaxRunTime = seconds{ 60 } };
  const RequestKind routeSheet{ .mWorkload = "route-sheet",
                                .mTeam = "crews",
                                .mUrgency = Urgency::Urgent,
                                .mPerTask = MakeResources(4, 8),
                                .mMinRunTime = seconds{ 30 },
                                .mMaxRunTime = seconds{ 90 } };
  const RequestKind report{ .mWorkload = "report",
                            .mTeam = "office",
                            .mUrgency = Urgency::Low,
                            .mPerTask = MakeResources(8, 32),
                            .mMinRunTime = minutes{ 2 },
                            .mMaxRunTime = minutes{ 6 } };
  const milliseconds none{ 0 };
  const milliseconds end = trace.mLength;
  builder.AddRequest(dispatch, none, none);
  builder.AddRequest(dispatch, none, none);
  builder.AddStream(booking, 3, none, end, none, none);
  builder.AddStream(certificate, 2, none, end, minutes{ 10 }, none);
  builder.AddStream(routeSheet, 3.3, minutes{ 30 }, minutes{ 45 }, none, end);
  builder.AddStream(report, 0.7, none, end, none, none);
  trace.mItems = builder.TakeItems();
  const policy::PlacementWeights weights{ .mPacking = 0.5, .mWaiting = 1.0 };
  AddWorkloadPolicy(
    trace, "dispatch", minutes{ 1 }, weights, Spread::Zone, false);
  AddWorkloadPolicy(
    trace, "booking", seconds{ 2 }, weights, Spread::None, false);
  AddWorkloadPolicy(
    trace, "certificate", seconds{ 60 }, weights, Spread::None, false);
  AddWorkloadPolicy(
    trace, "route-sheet", seconds{ 3 }, weights, Spread::None, false);
  AddWorkloadPolicy(
    trace, "report", minutes{ 30 }, weights, Spread::None, true);
  return trace;
}

Trace
MakeLutheriaTrace(std::uint64_t aSeed)
{
  Trace trace{ .mLength = hours{ 2 } };
  TraceBuilder builder(aSeed);
  const RequestKind encargos{ .mWorkload = "encargos",
                              .mTeam = "taller",
                              .mPerTask = MakeResources(2, 8),
                              .mMinRunTime = hours{ 10 },
                              .mMaxRunTime = hours{ 10 },
                              .mService = true,
                              .mTasks = 16 };
  const RequestKind model{ .mWorkload = "acoustic-model",
                           .mTeam = "acoustics",
                           .mUrgency = Urgency::Low,
                           .mPerTask = MakeResources(8, 32, 1),
                           .mMinRunTime = minutes{ 10 },
                           .mMaxRunTime = minutes{ 40 } };
  RequestKind gang = model;
  gang.mWorkload = "acoustic-ensemble";
  gang.mTasks = 4;
  const RequestKind match{ .mWorkload = "tonewood-match",
                           .mTeam = "archive",
                           .mPerTask = MakeResources(6, 40),
                           .mMinRunTime = minutes{ 5 },
                           .mMaxRunTime = minutes{ 15 },
                           .mNeverRepeat = true };
  const RequestKind preview{ .mWorkload = "preview",
                             .mTeam = "clients",
                             .mUrgency = Urgency::Urgent,
                             .mPerTask = MakeResources(2, 6),
                             .mMinRunTime = seconds{ 5 },
                             .mMaxRunTime = seconds{ 20 } };
  const milliseconds none{ 0 };
  builder.AddRequest(encargos, none, none);
  constexpr int kBacklog = 1'500;
  for (int number = 0; number < kBacklog; ++number) {
    builder.AddRequest(model, none, none);
    builder.AddRequest(match, none, none);
    builder.AddRequest(match, none, none);
    if (number % 20 == 0) {
      builder.AddRequest(gang, none, none);
    }
  }
  builder.AddStream(preview, 1, none, trace.mLength, minutes{ 5 }, none);
  trace.mItems = builder.TakeItems();
  const policy::PlacementWeights weights{ .mPacking = 1.0, .mWaiting = 0.2 };
  AddWorkloadPolicy(
    trace, "encargos", minutes{ 1 }, weights, Spread::Zone, false);
  AddWorkloadPolicy(
    trace, "acoustic-model", hours{ 4 }, weights, Spread::None, true);
  AddWorkloadPolicy(
    trace, "acoustic-ensemble", hours{ 1 }, weights, Spread::None, false);
  AddWorkloadPolicy(
    trace, "tonewood-match", hours{ 2 }, weights, Spread::None, false);
  AddWorkloadPolicy(
    trace, "preview", seconds{ 3 }, weights, Spread::None, false);
  return trace;
}

} // namespace oriolevane::bench
