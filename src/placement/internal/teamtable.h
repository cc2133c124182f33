// What each team has been granted in this shard, against its quota.
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
  // Quota of the whole cell and the part that falls to this shard.
  bool mLimited = false;
  Resources mCellLimit;
  Resources mShardLimit;
  double mWeight = 1.0;
  Resources mGranted;
  // Largest granted share of any resource of the shard, over the weight.
  double mDominantShare = 0;
};

class TeamTable
{
public:
  // A quota is split evenly over aShardCount shards, rounded up.
  explicit TeamTable(std::uint32_t aShardCount)
    : mShardCount(aShardCount)
  {
  }

  TeamIndex Find(const TeamId& aTeam, const policy::CellPolicy& aPolicy);
  void Apply(const policy::CellPolicy& aPolicy);
  void Grant(TeamIndex aTeam, const Resources& aAmount);
  void Release(TeamIndex aTeam, const Resources& aAmount);
  // The shard's grantable capacity, which shares refer to.
  void SetTotal(const Resources& aTotal);
  // True when the team may be granted this now. A team that has nothing yet may
  // have one task that is within the cell's quota even when above the shard's
  // part.
  bool Allows(TeamIndex aTeam, const Resources& aAmount) const;
  // True when the quota of the whole cell is below this amount.
  bool NeverAllows(TeamIndex aTeam, const Resources& aAmount) const;
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
