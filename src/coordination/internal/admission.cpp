#include "coordination/internal/admission.h"

#include <algorithm>
#include <cmath>

namespace oriolevane::coordination::internal {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds kLongestRetryAfter{ 60'000 };
constexpr std::chrono::milliseconds kShortestRetryAfter{ 10 };
// Teams are held to their shares once the backlog fills this part of the
// tolerated wait.
constexpr double kShareFrom = 0.5;

std::chrono::milliseconds
RetryAfter(double aSeconds)
{
  const auto whole = std::chrono::milliseconds(
    static_cast<std::int64_t>(std::ceil(std::min(aSeconds, 3600.0) * 1000)));
  return std::clamp(whole, kShortestRetryAfter, kLongestRetryAfter);
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
Admission::Drain(TimePoint aNow)
{
  double drained = mRate * Seconds(aNow - mAsOf).count();
  mAsOf = aNow;
  for (std::size_t level = mBacklog.size(); level > 0; --level) {
    double& backlog = mBacklog[level - 1];
    const double taken = std::min(backlog, drained);
    backlog -= taken;
    drained -= taken;
  }
}

void
Admission::DrainTeam(TeamShare& aTeam, TimePoint aNow)
{
  if (aTeam.mActive) {
    const double share = aTeam.mWeight / std::max(mActiveWeight, 1e-9);
    aTeam.mBacklog -= mRate * share * Seconds(aNow - aTeam.mAsOf).count();
    if (aTeam.mBacklog <= 0) {
      aTeam.mBacklog = 0;
      aTeam.mActive = false;
      mActiveWeight -= aTeam.mWeight;
    }
  }
  aTeam.mAsOf = aNow;
}

std::optional<std::chrono::milliseconds>
Admission::Refuse(const TeamId& aTeam,
                  protocol::Urgency aUrgency,
                  Seconds aToleratedWait,
                  TimePoint aNow)
{
  if (mRate <= 0) {
    return kLongestRetryAfter;
  }
  Drain(aNow);
  const auto level = static_cast<std::size_t>(aUrgency);
  double ahead = 0;
  for (std::size_t higher = level; higher < mBacklog.size(); ++higher) {
    ahead += mBacklog[higher];
  }
  const double depth = std::max(mRate * aToleratedWait.count(), 1.0);
  if (ahead + 1 > depth) {
    return RetryAfter((ahead + 1 - depth) / mRate);
  }
  TeamShare& team = mTeams[aTeam];
  DrainTeam(team, aNow);
  if (!team.mActive) {
    team.mActive = true;
    mActiveWeight += team.mWeight;
  }
  const double share = team.mWeight / std::max(mActiveWeight, 1e-9);
  const double teamDepth = std::max(depth * share, 1.0);
  if (ahead > kShareFrom * depth && team.mBacklog + 1 > teamDepth) {
    return RetryAfter((team.mBacklog + 1 - teamDepth) / (mRate * share));
  }
  mBacklog[level] += 1;
  team.mBacklog += 1;
  return std::nullopt;
}

} // namespace oriolevane::coordination::internal
