// Orders the waiting work of teams by dominant resource fairness.
#pragma once

#include <unordered_map>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/resources.h"
#include "teams/types/teampolicy.h"

namespace oriolevane::teams {

// What a team's next step needs to start.
struct WaitingDemand
{
  const TeamId* mTeam = nullptr;
  Resources mResources;
};

class FairOrder
{
public:
  void Configure(const std::vector<TeamPolicy>& aTeams);
  // Sets the capacity of the cell, of which shares are computed.
  void SetCapacity(const Resources& aCapacity) { mCapacity = aCapacity; }

  // The largest part of any one resource of the cell.
  double DominantShare(const Resources& aUsage) const;
  // Returns a sort key for each demand: the weighted dominant share that its
  // team has when the demands before it that belong to the same team have been
  // met. The least is served first. aUsageOf returns what a team uses now.
  template<typename UsageOf>
  std::vector<double> SortKeys(const std::vector<WaitingDemand>& aDemands,
                               const UsageOf& aUsageOf) const
  {
    std::unordered_map<TeamId, TeamUsage> teams;
    std::vector<double> keys;
    keys.reserve(aDemands.size());
    for (const WaitingDemand& demand : aDemands) {
      const auto [entry, added] = teams.try_emplace(*demand.mTeam);
      TeamUsage& team = entry->second;
      if (added) {
        team = { .mUsage = aUsageOf(*demand.mTeam),
                 .mWeight = WeightOf(*demand.mTeam) };
      }
      keys.push_back(DominantShare(team.mUsage) / team.mWeight);
      team.mUsage += demand.mResources;
    }
    return keys;
  }

private:
  struct TeamUsage
  {
    Resources mUsage;
    double mWeight = 1.0;
  };

  // 1 for a team without a policy.
  double WeightOf(const TeamId& aTeam) const;

  std::unordered_map<TeamId, double> mWeights;
  Resources mCapacity;
};

} // namespace oriolevane::teams
