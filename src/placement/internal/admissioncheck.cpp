#include "placement/internal/admissioncheck.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>

#include <fmt/format.h>

namespace oriolevane::placement {

using protocol::TaskEndReason;

namespace {

// Bounds of an estimated wait that is not zero.
constexpr std::chrono::milliseconds kMinRetryAfter{ 200 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 60'000 };
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

// Returns how many such tasks one empty worker can run.
std::size_t
CountPerWorker(const Resources& aCapacity, const Resources& aNeed)
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
AdmissionCheck::Check(const Batch& aBatch, std::size_t aNewCount) const
{
  if (std::optional<Refusal> refusal = CheckFeasibility(aBatch, aNewCount)) {
    return refusal;
  }
  const std::optional<TimePoint> latest = mQueue.LatestStart(aBatch);
  if (latest.has_value() && *latest < mContext.mNow) {
    return Refusal{ .mReason = TaskEndReason::DeadlinePassed,
                    .mAnswer = "the deadline can no longer be kept" };
  }
  if (mQueue.Waiting() + aNewCount > mContext.mOptions.mQueueLimit) {
    return Refusal{ .mReason = TaskEndReason::QueueFull,
                    .mAnswer = "the shard's queue is full",
                    .mRetryAfter = ExpectedWait() };
  }
  return std::nullopt;
}

std::optional<Refusal>
AdmissionCheck::CheckFeasibility(const Batch& aBatch,
                                 std::size_t aNewCount) const
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
  if (mContext.mTeams.ExceedsCellQuota(aBatch.mTeam, aBatch.mPerTask)) {
    return Refusal{ .mReason = TaskEndReason::CapacityLimit,
                    .mAnswer = "over the team's quota" };
  }
  if (mContext.mCapacityKinds.empty()) {
    return std::nullopt;
  }
  if (!mContext.CouldEverFit(aBatch.mPerTask)) {
    return Refusal{ .mReason = TaskEndReason::NeverRunnable,
                    .mAnswer = DescribeShortage(aBatch.mPerTask) };
  }
  if (aBatch.IsGang() &&
      CountFeasibleTasks(aBatch.mPerTask, aNewCount) < aNewCount) {
    return Refusal{ .mReason = TaskEndReason::NeverRunnable,
                    .mAnswer = fmt::format(
                      "the shard could not hold {} such tasks together",
                      aNewCount) };
  }
  return std::nullopt;
}

std::chrono::milliseconds
AdmissionCheck::ExpectedWait() const
{
  if (mQueue.Waiting() == 0) {
    return std::chrono::milliseconds{ 0 };
  }
  const double rate = std::max(mContext.mPlacedPerSecond, 1e-3);
  const double millis =
    kMillisPerSecond * static_cast<double>(mQueue.Waiting()) / rate;
  const double most = static_cast<double>(kMaxRetryAfter.count());
  return std::max(kMinRetryAfter,
                  std::chrono::milliseconds{
                    static_cast<std::int64_t>(std::min(millis, most)) });
}

std::string
AdmissionCheck::DescribeShortage(const Resources& aNeed) const
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
AdmissionCheck::CountFeasibleTasks(const Resources& aNeed,
                                   std::size_t aLimit) const
{
  std::size_t count = 0;
  for (WorkerIndex index = 0; index < mContext.mLedger.Size() && count < aLimit;
       ++index) {
    const WorkerRecord& worker = mContext.mWorkers.At(index);
    if (worker.mListed && !worker.mInfo.mLeaving) {
      count += CountPerWorker(mContext.mLedger.At(index).mGrantable, aNeed);
    }
  }
  return count;
}

} // namespace oriolevane::placement
