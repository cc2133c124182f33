#include "coordination/internal/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oriolevane::coordination::internal {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds kMaxRetryAfter{ 60'000 };
constexpr std::chrono::milliseconds kMinRetryAfter{ 10 };
// The part of the tolerated wait that the backlog fills before teams are
// limited to their shares.
constexpr double kFairShareThreshold = 0.5;
// The time constant with which the rates of admission are smoothed.
constexpr Seconds kRateSmoothingTime{ 1.0 };
// The minimum part of the rate that is assumed to be left by higher urgencies.
constexpr double kMinRemainingShare = 0.02;

std::chrono::milliseconds
RetryAfter(double aSeconds)
{
  const auto whole = std::chrono::milliseconds(
    static_cast<std::int64_t>(std::ceil(std::min(aSeconds, 3600.0) * 1000)));
  return std::clamp(whole, kMinRetryAfter, kMaxRetryAfter);
}

} // namespace

void
Admission::SetWeight(const TeamId& aTeam, double aWeight)
{
  TeamShare& team = mTeams[aTeam];
  if (team.mActive) {
    mActiveWeight += aWeight - team.mWeight;
  }
  team.mWeight = aWeight;
}

void
Admission::Drain(Backlog& aBacklog, double aRequests)
{
  for (std::size_t level = aBacklog.size(); level > 0; --level) {
    const double served = std::min(aBacklog[level - 1], aRequests);
    aBacklog[level - 1] -= served;
    aRequests -= served;
  }
}

double
Admission::BacklogFrom(const Backlog& aBacklog, std::size_t aLevel)
{
  return std::accumulate(aBacklog.begin() + static_cast<std::ptrdiff_t>(aLevel),
                         aBacklog.end(),
                         0.0);
}

double
Admission::RemainingRate(std::size_t aLevel) const
{
  const double higher = std::accumulate(
    mAdmittedRates.begin() + static_cast<std::ptrdiff_t>(aLevel) + 1,
    mAdmittedRates.end(),
    0.0);
  return std::max(mRate - higher, mRate * kMinRemainingShare);
}

void
Admission::DrainTeam(TeamShare& aTeam, TimePoint aNow)
{
  if (aTeam.mActive) {
    const double share = aTeam.mWeight / std::max(mActiveWeight, 1e-9);
    Drain(aTeam.mBacklog,
          mRate * share * Seconds(aNow - aTeam.mDrainedAt).count());
    if (BacklogFrom(aTeam.mBacklog, 0) <= 0) {
      aTeam.mActive = false;
      mActiveWeight -= aTeam.mWeight;
    }
  }
  aTeam.mDrainedAt = aNow;
}

std::optional<std::chrono::milliseconds>
Admission::AdmitOrRetryAfter(const TeamId& aTeam,
                             protocol::Urgency aUrgency,
                             Seconds aToleratedWait,
                             TimePoint aNow)
{
  if (mRate <= 0) {
    return kMaxRetryAfter;
  }
  const Seconds elapsed = aNow - mDrainedAt;
  mDrainedAt = aNow;
  Drain(mBacklog, mRate * elapsed.count());
  for (double& rate : mAdmittedRates) {
    rate *= std::exp(-elapsed / kRateSmoothingTime);
  }
  const auto level = static_cast<std::size_t>(aUrgency);
  const double ahead = BacklogFrom(mBacklog, level);
  const double left = RemainingRate(level);
  const double depth = std::max(left * aToleratedWait.count(), 1.0);
  if (ahead + 1 > depth) {
    return RetryAfter((ahead + 1 - depth) / left);
  }
  TeamShare& team = mTeams[aTeam];
  DrainTeam(team, aNow);
  if (!team.mActive) {
    team.mActive = true;
    mActiveWeight += team.mWeight;
  }
  const double share = team.mWeight / std::max(mActiveWeight, 1e-9);
  const double teamDepth = std::max(depth * share, 1.0);
  const double teamAhead = BacklogFrom(team.mBacklog, level);
  if (ahead > kFairShareThreshold * depth && teamAhead + 1 > teamDepth) {
    return RetryAfter((teamAhead + 1 - teamDepth) / (left * share));
  }
  mBacklog[level] += 1;
  team.mBacklog[level] += 1;
  mAdmittedRates[level] += 1 / kRateSmoothingTime.count();
  return std::nullopt;
}

} // namespace oriolevane::coordination::internal
