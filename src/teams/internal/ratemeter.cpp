#include "teams/ratemeter.h"

#include <algorithm>
#include <chrono>

namespace oriolevane::teams {

namespace {

// Callers come in bursts, so a team may use the guarantee of this time at once.
constexpr std::chrono::seconds kBurstWindow{ 5 };
// Small teams send few jobs, which may still come together.
constexpr double kMinBurstJobs = 20.0;

double
BurstOf(double aRate)
{
  return std::max(aRate * static_cast<double>(kBurstWindow.count()),
                  kMinBurstJobs);
}

} // namespace

void
RateMeter::Configure(const std::vector<TeamPolicy>& aTeams)
{
  std::unordered_map<TeamId, Bucket> buckets;
  for (const TeamPolicy& team : aTeams) {
    const auto known = mBuckets.find(team.mName);
    Bucket bucket{ .mTokens = BurstOf(team.mWeight) };
    if (known != mBuckets.end()) {
      bucket = known->second;
    }
    bucket.mRate = team.mWeight;
    bucket.mTokens = std::min(bucket.mTokens, BurstOf(team.mWeight));
    buckets.emplace(team.mName, bucket);
  }
  mBuckets = std::move(buckets);
}

double
RateMeter::TokensAt(const Bucket& aBucket, TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aBucket.mFilledAt;
  return std::min(BurstOf(aBucket.mRate),
                  aBucket.mTokens +
                    aBucket.mRate * std::max(elapsed.count(), 0.0));
}

bool
RateMeter::HasToken(const TeamId& aTeam, TimePoint aNow) const
{
  const auto found = mBuckets.find(aTeam);
  return found != mBuckets.end() && TokensAt(found->second, aNow) >= 1.0;
}

bool
RateMeter::TakeToken(const TeamId& aTeam, TimePoint aNow)
{
  if (!HasToken(aTeam, aNow)) {
    return false;
  }
  Bucket& bucket = mBuckets.at(aTeam);
  bucket.mTokens = TokensAt(bucket, aNow) - 1.0;
  bucket.mFilledAt = aNow;
  return true;
}

} // namespace oriolevane::teams
