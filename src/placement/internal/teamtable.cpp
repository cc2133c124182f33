#include "placement/internal/teamtable.h"

#include <algorithm>

namespace oriolevane::placement {

namespace {

Resources
SplitRoundedUp(const Resources& aLimit, std::int64_t aParts)
{
  const auto split = [aParts](std::int64_t aAmount) {
    return (aAmount + aParts - 1) / aParts;
  };
  return { .mMilliCores = split(aLimit.mMilliCores),
           .mMemoryMiB = split(aLimit.mMemoryMiB),
           .mAccelerators = split(aLimit.mAccelerators),
           .mSlots = split(aLimit.mSlots) };
}

double
FractionOf(std::int64_t aPart, std::int64_t aWhole)
{
  return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole)
                    : 0.0;
}

} // namespace

TeamIndex
TeamTable::FindOrAdd(const TeamId& aTeam, const policy::CellPolicy& aPolicy)
{
  const auto next = static_cast<TeamIndex>(mTeams.size());
  const auto [entry, isNew] = mByName.try_emplace(aTeam, next);
  if (isNew) {
    mTeams.push_back({ .mTeam = aTeam });
    ApplyQuota(mTeams.back(), aPolicy);
  }
  return entry->second;
}

void
TeamTable::Apply(const policy::CellPolicy& aPolicy)
{
  for (TeamRecord& team : mTeams) {
    ApplyQuota(team, aPolicy);
    UpdateShare(team);
  }
}

void
TeamTable::Grant(TeamIndex aTeam, const Resources& aAmount)
{
  mTeams[aTeam].mGranted += aAmount;
  UpdateShare(mTeams[aTeam]);
}

void
TeamTable::Release(TeamIndex aTeam, const Resources& aAmount)
{
  mTeams[aTeam].mGranted -= aAmount;
  UpdateShare(mTeams[aTeam]);
}

void
TeamTable::SetShardCapacity(const Resources& aTotal)
{
  if (mTotal == aTotal) {
    return;
  }
  mTotal = aTotal;
  for (TeamRecord& team : mTeams) {
    UpdateShare(team);
  }
}

bool
TeamTable::Allows(TeamIndex aTeam, const Resources& aAmount) const
{
  const TeamRecord& team = mTeams[aTeam];
  if (!team.mHasQuota || (team.mGranted + aAmount).FitsIn(team.mShardQuota)) {
    return true;
  }
  return team.mGranted == Resources{} && aAmount.FitsIn(team.mCellQuota);
}

bool
TeamTable::ExceedsCellQuota(TeamIndex aTeam, const Resources& aAmount) const
{
  const TeamRecord& team = mTeams[aTeam];
  return team.mHasQuota && !aAmount.FitsIn(team.mCellQuota);
}

void
TeamTable::ApplyQuota(TeamRecord& aTeam,
                      const policy::CellPolicy& aPolicy) const
{
  const auto quota = aPolicy.mTeams.find(aTeam.mTeam);
  aTeam.mHasQuota = quota != aPolicy.mTeams.end();
  aTeam.mWeight = 1.0;
  if (aTeam.mHasQuota) {
    aTeam.mCellQuota = quota->second.mLimit;
    aTeam.mShardQuota = SplitRoundedUp(quota->second.mLimit, mShardCount);
    aTeam.mWeight = std::max(quota->second.mWeight, 1e-6);
  }
}

void
TeamTable::UpdateShare(TeamRecord& aTeam) const
{
  const Resources& granted = aTeam.mGranted;
  const double share =
    std::max({ FractionOf(granted.mMilliCores, mTotal.mMilliCores),
               FractionOf(granted.mMemoryMiB, mTotal.mMemoryMiB),
               FractionOf(granted.mAccelerators, mTotal.mAccelerators),
               FractionOf(granted.mSlots, mTotal.mSlots) });
  aTeam.mDominantShare = share / aTeam.mWeight;
}

} // namespace oriolevane::placement
