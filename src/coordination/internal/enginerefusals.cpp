#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

#include "coordination/internal/engine.h"

namespace oriolevane::coordination::internal {

namespace {

using protocol::Outcome;
using protocol::RefusalReason;
using protocol::RequestStatus;

constexpr std::chrono::milliseconds kStoreRetryAfter{ 2'000 };
constexpr std::chrono::milliseconds kStoppingRetryAfter{ 500 };
constexpr std::chrono::milliseconds kMostRetryAfter{ 60'000 };
// A month; longer deadlines and run times are taken for mistakes.
constexpr std::chrono::milliseconds kLongestTime{ 2'678'400'000 };
constexpr std::int64_t kMostOfOneAmount = 1'000'000'000;

// What the placers expect an ordinary request to wait, as a share that a
// request of this urgency waits, and the share of the tolerated wait that the
// backlog may fill before this urgency is refused.
struct UrgencyBounds
{
  double mOfExpectedWait;
  double mOfToleratedWait;
};
constexpr std::array<UrgencyBounds, protocol::kUrgencyLevels> kBounds{
  { { 1.0, 0.5 }, { 1.0, 1.0 }, { 0.5, 1.0 } }
};

RequestStatus
Refusal(const protocol::RequestSpec& aSpec,
        RefusalReason aReason,
        std::string aDetail,
        std::optional<std::chrono::milliseconds> aRetryAfter = {})
{
  return { .mId = aSpec.mId,
           .mOutcome = Outcome::NotRun,
           .mReason = aReason,
           .mDetail = std::move(aDetail),
           .mRetryAfter = aRetryAfter };
}

std::chrono::milliseconds
Scaled(std::chrono::milliseconds aTime, double aFactor)
{
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

bool
IsSaneAmount(std::int64_t aAmount)
{
  return aAmount >= 0 && aAmount <= kMostOfOneAmount;
}

const char*
Fault(const protocol::RequestSpec& aSpec, std::uint32_t aMostTasks)
{
  const Resources& each = aSpec.mPerTask;
  if (aSpec.mId.Empty()) {
    return "the request has no id";
  }
  if (aSpec.mTaskCount == 0 || aSpec.mTaskCount > aMostTasks) {
    return "the number of tasks is out of range";
  }
  if (!IsSaneAmount(each.mMilliCores) || !IsSaneAmount(each.mMemoryMiB) ||
      !IsSaneAmount(each.mAccelerators) || !IsSaneAmount(each.mSlots)) {
    return "an amount is out of range";
  }
  if (each == Resources{}) {
    return "a task asks for nothing";
  }
  if (aSpec.mDeclaredRunTime.count() < 0 ||
      aSpec.mDeclaredRunTime > kLongestTime ||
      (aSpec.mDeadline && *aSpec.mDeadline > kLongestTime)) {
    return "a time is out of range";
  }
  if (aSpec.mService && (aSpec.mNeverRepeat || aSpec.mDeadline)) {
    return "a service has neither a deadline nor a never-repeat mark";
  }
  return nullptr;
}

// The first amount that is over the limit, in words; null when none is.
const char*
AmountOver(const Resources& aAsked, const Resources& aLimit)
{
  if (aAsked.mMilliCores > aLimit.mMilliCores) {
    return "processors";
  }
  if (aAsked.mMemoryMiB > aLimit.mMemoryMiB) {
    return "memory";
  }
  if (aAsked.mAccelerators > aLimit.mAccelerators) {
    return "accelerators";
  }
  return aAsked.mSlots > aLimit.mSlots ? "slots" : nullptr;
}

} // namespace

std::optional<RequestStatus>
Engine::Refuse(const protocol::RequestSpec& aSpec)
{
  if (const char* fault = Fault(aSpec, mOptions.mMostTasksPerRequest)) {
    return Refusal(aSpec, RefusalReason::Invalid, fault);
  }
  if (std::optional<RequestStatus> refusal = RefuseForState(aSpec)) {
    return refusal;
  }
  if (std::optional<RequestStatus> refusal = RefuseForPolicy(aSpec)) {
    return refusal;
  }
  return RefuseForLoad(aSpec);
}

// Before all shards have answered, an attempt of an unrecorded request under
// this id may be running, so that "not run" would be a guess.
std::optional<RequestStatus>
Engine::RefuseForState(const protocol::RequestSpec& aSpec) const
{
  if (std::optional<RequestStatus> unknown = UnknownStatus(aSpec.mId);
      unknown && unknown->mOutcome == Outcome::NotKnownYet) {
    return unknown;
  }
  if (mDraining) {
    return Refusal(aSpec,
                   RefusalReason::Stopping,
                   "the node is stopping",
                   kStoppingRetryAfter);
  }
  const bool needsRecord = aSpec.mNeverRepeat || !aSpec.mCallerWaits;
  if ((!mStoreAvailable && needsRecord) ||
      mPending.Size() >= mOptions.mMostPendingRecords) {
    return Refusal(aSpec,
                   RefusalReason::StoreUnavailable,
                   "the record that this request needs can't be written now",
                   kStoreRetryAfter);
  }
  return std::nullopt;
}

std::optional<RequestStatus>
Engine::RefuseForPolicy(const protocol::RequestSpec& aSpec) const
{
  const auto workload = mPolicy->mWorkloads.find(aSpec.mWorkload);
  if (workload == mPolicy->mWorkloads.end()) {
    return Refusal(aSpec, RefusalReason::UnknownWorkload, "unknown workload");
  }
  const auto team = mPolicy->mTeams.find(aSpec.mTeam);
  if (team == mPolicy->mTeams.end()) {
    return Refusal(aSpec, RefusalReason::UnknownTeam, "unknown team");
  }
  if (const char* amount =
        AmountOver(aSpec.mPerTask, workload->second.mPerTaskLimit)) {
    return Refusal(
      aSpec,
      RefusalReason::NeverRunnable,
      fmt::format("{} per task over the workload's limit", amount));
  }
  Resources atOnce = aSpec.mPerTask;
  if (aSpec.mStartTogether) {
    atOnce = { .mMilliCores = atOnce.mMilliCores * aSpec.mTaskCount,
               .mMemoryMiB = atOnce.mMemoryMiB * aSpec.mTaskCount,
               .mAccelerators = atOnce.mAccelerators * aSpec.mTaskCount,
               .mSlots = atOnce.mSlots * aSpec.mTaskCount };
  }
  if (const char* amount = AmountOver(atOnce, team->second.mLimit)) {
    return Refusal(aSpec,
                   RefusalReason::QuotaExceeded,
                   fmt::format("{} over the team's quota", amount));
  }
  std::optional<std::string> never = mRouter.NeverFits(aSpec.mPerTask);
  if (!never && aSpec.mStartTogether) {
    never = mRouter.NeverFitsTogether(aSpec.mPerTask, aSpec.mTaskCount);
  }
  if (never) {
    return Refusal(aSpec, RefusalReason::NeverRunnable, std::move(*never));
  }
  return std::nullopt;
}

std::optional<RequestStatus>
Engine::RefuseForLoad(const protocol::RequestSpec& aSpec)
{
  if (mRequests.Size() >= mOptions.mMostLive) {
    return Refusal(aSpec,
                   RefusalReason::Overloaded,
                   "too many requests are unfinished",
                   kStoreRetryAfter);
  }
  if (!mOptions.mLimitAdmission) {
    return std::nullopt;
  }
  const UrgencyBounds bounds =
    kBounds[static_cast<std::size_t>(aSpec.mUrgency)];
  const std::chrono::milliseconds bound =
    Scaled(PolicyOf(aSpec.mWorkload).mToleratedWait, bounds.mOfToleratedWait);
  const std::chrono::milliseconds expected =
    Scaled(mRouter.ExpectedWait(aSpec.mPerTask)
             .value_or(std::chrono::milliseconds{ 0 }),
           bounds.mOfExpectedWait);
  if (aSpec.mDeadline && expected >= *aSpec.mDeadline) {
    return Refusal(aSpec,
                   RefusalReason::DeadlineUnreachable,
                   fmt::format("the expected wait is {} ms", expected.count()),
                   std::min(expected, kMostRetryAfter));
  }
  if (expected > bound) {
    return Refusal(aSpec,
                   RefusalReason::Overloaded,
                   fmt::format("the expected wait is {} ms", expected.count()),
                   std::min(expected - bound, kMostRetryAfter));
  }
  const auto retryAfter = mAdmission.Refuse(
    aSpec.mTeam, aSpec.mUrgency, bound * mOptions.mBurstShare, mNow);
  if (retryAfter) {
    return Refusal(aSpec,
                   RefusalReason::Overloaded,
                   "over the rate that the cell accepts",
                   retryAfter);
  }
  return std::nullopt;
}

const policy::WorkloadPolicy&
Engine::PolicyOf(const WorkloadId& aWorkload) const
{
  static const policy::WorkloadPolicy kDefault;
  const auto found = mPolicy->mWorkloads.find(aWorkload);
  return found == mPolicy->mWorkloads.end() ? kDefault : found->second;
}

} // namespace oriolevane::coordination::internal
