#include "teams/admissionpolicy.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "framework/stablehash.h"

namespace oriolevane::teams {

namespace {

using namespace std::chrono_literals;

// Borrowing jobs are refused once guaranteed work has waited for this long. A
// full cell of short tasks frees capacity every few milliseconds, so a shorter
// wait does not show that capacity is missing.
constexpr std::chrono::milliseconds kWaitThreshold = 300ms;
// Bounds of the mean retry delay.
constexpr double kMinMeanDelaySeconds = 2.0;
constexpr double kMaxMeanDelaySeconds = 30.0;
// Retry delays are spread over the mean times 0.5 to 1.5.
constexpr double kLeastDelayFactor = 0.5;
constexpr std::uint64_t kHashSteps = 1024;

} // namespace

void
AdmissionPolicy::Configure(const std::vector<TeamPolicy>& aTeams)
{
  mGuaranteedRate = 0;
  for (const TeamPolicy& team : aTeams) {
    mGuaranteedRate += team.mWeight;
  }
}

void
AdmissionPolicy::BeginPass(const Resources& aFree)
{
  mFree = aFree;
  mDemand = {};
  mLongest = {};
  mLongestOfOthers = {};
  mBorrowingSteps = 0;
}

void
AdmissionPolicy::NoteGuaranteedWait(const TeamId& aTeam, Duration aWait)
{
  if (aTeam == mLongest.mTeam) {
    mLongest.mWait = std::max(mLongest.mWait, aWait);
    return;
  }
  GuaranteedWait other{ .mTeam = aTeam, .mWait = aWait };
  if (aWait > mLongest.mWait) {
    std::swap(mLongest, other);
  }
  if (other.mWait > mLongestOfOthers.mWait) {
    mLongestOfOthers = other;
  }
}

std::optional<std::chrono::seconds>
AdmissionPolicy::RetryAfter(const TeamId& aTeam,
                            std::string_view aJobId,
                            const Resources& aDemand) const
{
  const GuaranteedWait& wait =
    mLongest.mTeam == aTeam ? mLongestOfOthers : mLongest;
  if (wait.mWait <= kWaitThreshold || (mDemand + aDemand).FitsIn(mFree)) {
    return std::nullopt;
  }
  const double mean = std::clamp(static_cast<double>(mBorrowingSteps) /
                                   std::max(mGuaranteedRate, 1.0),
                                 kMinMeanDelaySeconds,
                                 kMaxMeanDelaySeconds);
  const double spread =
    static_cast<double>(StableHash(aJobId) % kHashSteps) / kHashSteps;
  return std::chrono::seconds(
    std::lround(std::ceil(mean * (kLeastDelayFactor + spread))));
}

} // namespace oriolevane::teams
