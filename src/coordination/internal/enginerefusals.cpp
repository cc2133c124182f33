// Admission checks: reasons to refuse a new request.
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
constexpr std::chrono::milliseconds kMaxRetryAfter{ 60'000 };
// 31 days. Longer deadlines and run times are refused as mistakes.
constexpr std::chrono::milliseconds kMaxRequestTime{ 2'678'400'000 };
constexpr std::int64_t kMaxResourceAmount = 1'000'000'000;

// Factors for one urgency: the share of the placers' expected wait (which is
// for an ordinary request) that a request of this urgency waits, and the share
// of the tolerated wait that the backlog may fill before it is refused.
struct UrgencyBounds
{
  double mExpectedWaitFactor;
  double mToleratedWaitFactor;
};
constexpr std::array<UrgencyBounds, protocol::kUrgencyLevels> kUrgencyBounds{
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
IsValidAmount(std::int64_t aAmount)
{
  return aAmount >= 0 && aAmount <= kMaxResourceAmount;
}

// Returns what is wrong with the specification, or null.
const char*
SpecError(const protocol::RequestSpec& aSpec, std::uint32_t aMaxTasks)
{
  const Resources& each = aSpec.mPerTask;
  if (aSpec.mId.Empty()) {
    return "the request has no id";
  }
  if (aSpec.mTaskCount == 0 || aSpec.mTaskCount > aMaxTasks) {
    return "the number of tasks is out of range";
  }
  if (!IsValidAmount(each.mMilliCores) || !IsValidAmount(each.mMemoryMiB) ||
      !IsValidAmount(each.mAccelerators) || !IsValidAmount(each.mSlots)) {
    return "an amount is out of range";
  }
  if (each == Resources{}) {
    return "a task asks for nothing";
  }
  if (aSpec.mDeclaredRunTime.count() < 0 ||
      aSpec.mDeclaredRunTime > kMaxRequestTime ||
      (aSpec.mDeadline && *aSpec.mDeadline > kMaxRequestTime)) {
    return "a time is out of range";
  }
  if (aSpec.mService && (aSpec.mNeverRepeat || aSpec.mDeadline)) {
    return "a service has neither a deadline nor a never-repeat mark";
  }
  return nullptr;
}

// Returns the name of the first resource over the limit, or null.
const char*
ResourceOverLimit(const Resources& aAsked, const Resources& aLimit)
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
  if (const char* error = SpecError(aSpec, mOptions.mMaxTasksPerRequest)) {
    return Refusal(aSpec, RefusalReason::Invalid, error);
  }
  if (std::optional<RequestStatus> refusal = RefuseForState(aSpec)) {
    return refusal;
  }
  if (std::optional<RequestStatus> refusal = RefuseForPolicy(aSpec)) {
    return refusal;
  }
  return RefuseForLoad(aSpec);
}

// Refuses the request for the state of this partition or its store. Before all
// shards have answered, an attempt of an unrecorded request under this id may
// be running, so "not run" may be wrong and the outcome is "not known yet".
std::optional<RequestStatus>
Engine::RefuseForState(const protocol::RequestSpec& aSpec) const
{
  if (std::optional<RequestStatus> unknown = StatusOfUnknownId(aSpec.mId);
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
      mPendingRecords.Size() >= mOptions.mMaxPendingRecords) {
    return Refusal(aSpec,
                   RefusalReason::StoreUnavailable,
                   "the record that this request needs can't be written now",
                   kStoreRetryAfter);
  }
  return std::nullopt;
}

// Refuses what the cell policy does not allow or no host can ever hold.
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
  if (const char* resource =
        ResourceOverLimit(aSpec.mPerTask, workload->second.mPerTaskLimit)) {
    return Refusal(
      aSpec,
      RefusalReason::NeverRunnable,
      fmt::format("{} per task over the workload's limit", resource));
  }
  Resources concurrent = aSpec.mPerTask;
  if (aSpec.mStartTogether) {
    concurrent = { .mMilliCores = concurrent.mMilliCores * aSpec.mTaskCount,
                   .mMemoryMiB = concurrent.mMemoryMiB * aSpec.mTaskCount,
                   .mAccelerators = concurrent.mAccelerators * aSpec.mTaskCount,
                   .mSlots = concurrent.mSlots * aSpec.mTaskCount };
  }
  if (const char* resource =
        ResourceOverLimit(concurrent, team->second.mLimit)) {
    return Refusal(aSpec,
                   RefusalReason::QuotaExceeded,
                   fmt::format("{} over the team's quota", resource));
  }
  std::optional<std::string> reason = mRouter.WhyNeverFits(aSpec.mPerTask);
  if (!reason && aSpec.mStartTogether) {
    reason = mRouter.WhyNeverFitsTogether(aSpec.mPerTask, aSpec.mTaskCount);
  }
  if (reason) {
    return Refusal(aSpec, RefusalReason::NeverRunnable, std::move(*reason));
  }
  return std::nullopt;
}

// Refuses the request when too many are unfinished, when the expected wait is
// too long, or when the admission rate is exceeded.
std::optional<RequestStatus>
Engine::RefuseForLoad(const protocol::RequestSpec& aSpec)
{
  if (mRequests.Size() >= mOptions.mMaxLiveRequests) {
    return Refusal(aSpec,
                   RefusalReason::Overloaded,
                   "too many requests are unfinished",
                   kStoreRetryAfter);
  }
  if (!mOptions.mLimitAdmission) {
    return std::nullopt;
  }
  const UrgencyBounds bounds =
    kUrgencyBounds[static_cast<std::size_t>(aSpec.mUrgency)];
  const std::chrono::milliseconds bound = Scaled(
    PolicyOf(aSpec.mWorkload).mToleratedWait, bounds.mToleratedWaitFactor);
  const std::chrono::milliseconds expected =
    Scaled(mRouter.ExpectedWait(aSpec.mPerTask)
             .value_or(std::chrono::milliseconds{ 0 }),
           bounds.mExpectedWaitFactor);
  if (aSpec.mDeadline && expected >= *aSpec.mDeadline) {
    return Refusal(aSpec,
                   RefusalReason::DeadlineUnreachable,
                   fmt::format("the expected wait is {} ms", expected.count()),
                   std::min(expected, kMaxRetryAfter));
  }
  if (expected > bound) {
    return Refusal(aSpec,
                   RefusalReason::Overloaded,
                   fmt::format("the expected wait is {} ms", expected.count()),
                   std::min(expected - bound, kMaxRetryAfter));
  }
  const auto retryAfter = mAdmission.AdmitOrRetryAfter(
    aSpec.mTeam, aSpec.mUrgency, bound * mOptions.mToleratedWaitShare, mNow);
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
