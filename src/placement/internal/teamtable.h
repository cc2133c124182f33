// Resources granted to each team in this shard, and the quotas of the teams.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "placement/internal/handles.h"
#include "policy/types/cellpolicy.h"

namespace oriolevane::placement {

struct TeamRecord
{
  TeamId mTeam;
  // False when the configuration sets no quota for the team.
  bool mHasQuota = false;
  // Quota in the whole cell and this shard's part of it.
  Resources mCellQuota;
  Resources mShardQuota;
  // Weight in the fair order of the teams.
  double mWeight = 1.0;
  Resources mGranted;
  // Dominant share: the largest granted fraction of any one resource of the
  // shard, divided by the weight.
  double mDominantShare = 0;
};

// Teams are added at first use and never removed.
class TeamTable
{
public:
  // A quota is split evenly over aShardCount shards, rounded up.
  explicit TeamTable(std::uint32_t aShardCount)
    : mShardCount(aShardCount)
  {
  }

  // Returns the index of the team, adding it when it is unknown.
  TeamIndex FindOrAdd(const TeamId& aTeam, const policy::CellPolicy& aPolicy);
  // Applies the quotas and weights of a new policy to all known teams.
  void Apply(const policy::CellPolicy& aPolicy);
  // Counts resources that were granted to a task of the team.
  void Grant(TeamIndex aTeam, const Resources& aAmount);
  // Takes back what Grant() counted.
  void Release(TeamIndex aTeam, const Resources& aAmount);
  // Sets the grantable capacity of the shard, to which shares are relative.
  void SetShardCapacity(const Resources& aTotal);
  // Returns true when the team may be granted this amount now. A team without
  // any grant may get one that is within its quota in the cell even when it
  // exceeds the shard's part.
  bool Allows(TeamIndex aTeam, const Resources& aAmount) const;
  // Returns true when the amount exceeds the team's quota in the whole cell.
  bool ExceedsCellQuota(TeamIndex aTeam, const Resources& aAmount) const;
  const TeamRecord& At(TeamIndex aTeam) const { return mTeams[aTeam]; }
  TeamIndex Size() const { return static_cast<TeamIndex>(mTeams.size()); }

private:
  void ApplyQuota(TeamRecord& aTeam, const policy::CellPolicy& aPolicy) const;
  void UpdateShare(TeamRecord& aTeam) const;

  std::uint32_t mShardCount;
  Resources mTotal;
  std::vector<TeamRecord> mTeams;
  std::unordered_map<TeamId, TeamIndex> mByName;
};

} // namespace oriolevane::placement
