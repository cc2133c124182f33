#include "placement/internal/intakecheck.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>

#include <fmt/format.h>

namespace oriolevane::placement {

using protocol::TaskEndReason;

namespace {

constexpr std::chrono::milliseconds kLeastRetryAfter{ 200 };
constexpr std::chrono::milliseconds kMostRetryAfter{ 60'000 };
constexpr double kMillisPerSecond = 1000;

struct NamedAmount
{
  std::string_view mName;
  std::int64_t Resources::*mAmount;
};

constexpr std::array<NamedAmount, 4> kAmounts{
  NamedAmount{ "processors (thousandths of a core)", &Resources::mMilliCores },
  NamedAmount{ "memory (MiB)", &Resources::mMemoryMiB },
  NamedAmount{ "accelerators", &Resources::mAccelerators },
  NamedAmount{ "slots", &Resources::mSlots }
};

// How many such tasks one empty worker holds.
std::size_t
CountOn(const Resources& aCapacity, const Resources& aNeed)
{
  std::int64_t count = std::numeric_limits<std::int32_t>::max();
  for (const NamedAmount& amount : kAmounts) {
    if (aNeed.*amount.mAmount > 0) {
      count =
        std::min(count, aCapacity.*amount.mAmount / (aNeed.*amount.mAmount));
    }
  }
  return static_cast<std::size_t>(std::max<std::int64_t>(0, count));
}

} // namespace

std::optional<Refusal>
IntakeCheck::Check(const Batch& aBatch, std::size_t aFresh) const
{
  if (std::optional<Refusal> refusal = CheckSize(aBatch, aFresh)) {
    return refusal;
  }
  const std::optional<TimePoint> latest = mQueue.LatestStart(aBatch);
  if (latest.has_value() && *latest < mContext.mNow) {
    return Refusal{ .mReason = TaskEndReason::DeadlinePassed,
                    .mAnswer = "the deadline can no longer be kept" };
  }
  if (mQueue.Waiting() + aFresh > mContext.mOptions.mQueueLimit) {
    return Refusal{ .mReason = TaskEndReason::QueueFull,
                    .mAnswer = "the shard's queue is full",
                    .mRetryAfter = ExpectedWait() };
  }
  return std::nullopt;
}

std::optional<Refusal>
IntakeCheck::CheckSize(const Batch& aBatch, std::size_t aFresh) const
{
  if (!aBatch.mPerTask.IsNonNegative()) {
    return Refusal{ .mReason = TaskEndReason::NeverRunnable,
                    .mAnswer = "an amount is negative" };
  }
  const WorkloadRecord& workload = mContext.mWorkloads.At(aBatch.mWorkload);
  if (!aBatch.mPerTask.FitsIn(workload.mPolicy.mPerTaskLimit)) {
    return Refusal{ .mReason = TaskEndReason::CapacityLimit,
                    .mAnswer = "over the workload's limit for one task" };
  }
  if (mContext.mTeams.NeverAllows(aBatch.mTeam, aBatch.mPerTask)) {
    return Refusal{ .mReason = TaskEndReason::CapacityLimit,
                    .mAnswer = "over the team's quota" };
  }
  if (mContext.mCapacityKinds.empty()) {
    return std::nullopt;
  }
  if (!mContext.CouldEverFit(aBatch.mPerTask)) {
    return Refusal{ .mReason = TaskEndReason::NeverRunnable,
                    .mAnswer = DescribeMisfit(aBatch.mPerTask) };
  }
  if (aBatch.IsGang() && CountThatCouldFit(aBatch.mPerTask, aFresh) < aFresh) {
    return Refusal{ .mReason = TaskEndReason::NeverRunnable,
                    .mAnswer = fmt::format(
                      "the shard could not hold {} such tasks together",
                      aFresh) };
  }
  return std::nullopt;
}

std::chrono::milliseconds
IntakeCheck::ExpectedWait() const
{
  if (mQueue.Waiting() == 0) {
    return std::chrono::milliseconds{ 0 };
  }
  const double rate = std::max(mContext.mPlacedPerSecond, 1e-3);
  const double millis =
    kMillisPerSecond * static_cast<double>(mQueue.Waiting()) / rate;
  const double most = static_cast<double>(kMostRetryAfter.count());
  return std::max(kLeastRetryAfter,
                  std::chrono::milliseconds{
                    static_cast<std::int64_t>(std::min(millis, most)) });
}

std::string
IntakeCheck::DescribeMisfit(const Resources& aNeed) const
{
  for (const NamedAmount& amount : kAmounts) {
    std::int64_t most = 0;
    for (const Resources& kind : mContext.mCapacityKinds) {
      most = std::max(most, kind.*amount.mAmount);
    }
    if (aNeed.*amount.mAmount > most) {
      return fmt::format("needs {} {}, no worker has more than {}",
                         aNeed.*amount.mAmount,
                         amount.mName,
                         most);
    }
  }
  return "no worker has all the resources together";
}

std::size_t
IntakeCheck::CountThatCouldFit(const Resources& aNeed,
                               std::size_t aEnough) const
{
  std::size_t count = 0;
  for (WorkerIndex index = 0;
       index < mContext.mLedger.Size() && count < aEnough;
       ++index) {
    const WorkerRecord& worker = mContext.mWorkers.At(index);
    if (worker.mListed && !worker.mInfo.mLeaving) {
      count += CountOn(mContext.mLedger.At(index).mGrantable, aNeed);
    }
  }
  return count;
}

} // namespace oriolevane::placement
