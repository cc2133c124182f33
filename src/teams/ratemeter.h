// Measures whether a team submits jobs within its guaranteed rate.
#pragma once

#include <unordered_map>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "teams/types/teampolicy.h"

namespace oriolevane::teams {

// A token bucket for each team. It gains as many tokens a second as the team
// has weight, and holds those of five seconds, but at least 20.
class RateMeter
{
public:
  // Replaces the rates. New teams start with a full bucket.
  void Configure(const std::vector<TeamPolicy>& aTeams);
  // True when one more job of the team is within its guaranteed rate. Teams
  // without a policy have no guarantee.
  bool HasToken(const TeamId& aTeam, TimePoint aNow) const;
  // As HasToken(), and uses the token.
  bool TakeToken(const TeamId& aTeam, TimePoint aNow);

private:
  struct Bucket
  {
    double mRate = 0;
    double mTokens = 0;
    TimePoint mFilledAt;
  };

  // The tokens that a bucket holds at a time.
  static double TokensAt(const Bucket& aBucket, TimePoint aNow);

  std::unordered_map<TeamId, Bucket> mBuckets;
};

} // namespace oriolevane::teams
