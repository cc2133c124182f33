#include "teams/fairorder.h"

#include <algorithm>

namespace oriolevane::teams {

namespace {

// Weights below this count as this much, so that a share can be divided by
// them.
constexpr double kMinWeight = 1e-6;

} // namespace

void
FairOrder::Configure(const std::vector<TeamPolicy>& aTeams)
{
  mWeights.clear();
  for (const TeamPolicy& team : aTeams) {
    mWeights[team.mName] = std::max(team.mWeight, kMinWeight);
  }
}

double
FairOrder::WeightOf(const TeamId& aTeam) const
{
  const auto found = mWeights.find(aTeam);
  return found == mWeights.end() ? 1.0 : found->second;
}

double
FairOrder::DominantShare(const Resources& aUsage) const
{
  const auto share = [](std::int64_t aUsed, std::int64_t aOf) {
    return aOf <= 0 ? 0.0
                    : static_cast<double>(aUsed) / static_cast<double>(aOf);
  };
  return std::max({ share(aUsage.mMilliCores, mCapacity.mMilliCores),
                    share(aUsage.mMemoryMiB, mCapacity.mMemoryMiB),
                    share(aUsage.mAccelerators, mCapacity.mAccelerators) });
}

} // namespace oriolevane::teams
