#include "placement/internal/workloadtable.h"

namespace oriolevane::placement {

namespace {

// Declared run times are often off by this factor.
constexpr int kDeclarationMargin = 4;
constexpr double kLikelyQuantile = 0.9;
constexpr double kLeastQuantile = 0.02;

void
ApplyPolicy(WorkloadRecord& aRecord, const policy::CellPolicy& aPolicy)
{
  const auto found = aPolicy.mWorkloads.find(aRecord.mWorkload);
  aRecord.mPolicy = found == aPolicy.mWorkloads.end() ? policy::WorkloadPolicy{}
                                                      : found->second;
}

} // namespace

std::chrono::milliseconds
WorkloadRecord::LikelyRunTime(std::chrono::milliseconds aDeclared) const
{
  return mStats.KnowsRunTime() ? mStats.RunTimeQuantile(kLikelyQuantile)
                               : aDeclared * kDeclarationMargin;
}

std::chrono::milliseconds
WorkloadRecord::LeastRunTime() const
{
  // The quantile is the upper edge of its bin; half of it is below the lower
  // edge.
  return mStats.KnowsRunTime() ? mStats.RunTimeQuantile(kLeastQuantile) / 2
                               : std::chrono::milliseconds{ 0 };
}

WorkloadIndex
WorkloadTable::Find(const WorkloadId& aWorkload,
                    const policy::CellPolicy& aPolicy)
{
  const auto next = static_cast<WorkloadIndex>(mWorkloads.size());
  const auto [place, isNew] = mByName.try_emplace(aWorkload, next);
  if (isNew) {
    mWorkloads.push_back({ .mWorkload = aWorkload });
    ApplyPolicy(mWorkloads.back(), aPolicy);
  }
  return place->second;
}

void
WorkloadTable::Apply(const policy::CellPolicy& aPolicy)
{
  for (WorkloadRecord& record : mWorkloads) {
    ApplyPolicy(record, aPolicy);
  }
}

} // namespace oriolevane::placement
