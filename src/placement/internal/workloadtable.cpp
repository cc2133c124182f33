#include "placement/internal/workloadtable.h"

namespace oriolevane::placement {

namespace {

// Declared run times are often wrong by up to this factor.
constexpr int kDeclaredRunTimeMargin = 4;
constexpr double kMaxRunTimeQuantile = 0.9;
constexpr double kMinRunTimeQuantile = 0.02;

void
ApplyPolicy(WorkloadRecord& aRecord, const policy::CellPolicy& aPolicy)
{
  const auto found = aPolicy.mWorkloads.find(aRecord.mWorkload);
  aRecord.mPolicy = found == aPolicy.mWorkloads.end() ? policy::WorkloadPolicy{}
                                                      : found->second;
}

} // namespace

std::chrono::milliseconds
WorkloadRecord::LikelyMaxRunTime(std::chrono::milliseconds aDeclared) const
{
  return mStats.HasRunTimeEstimate()
           ? mStats.RunTimeQuantile(kMaxRunTimeQuantile)
           : aDeclared * kDeclaredRunTimeMargin;
}

std::chrono::milliseconds
WorkloadRecord::LikelyMinRunTime() const
{
  // RunTimeQuantile() returns the upper edge of the bin; half of that is below
  // its lower edge.
  return mStats.HasRunTimeEstimate()
           ? mStats.RunTimeQuantile(kMinRunTimeQuantile) / 2
           : std::chrono::milliseconds{ 0 };
}

WorkloadIndex
WorkloadTable::FindOrAdd(const WorkloadId& aWorkload,
                         const policy::CellPolicy& aPolicy)
{
  const auto next = static_cast<WorkloadIndex>(mWorkloads.size());
  const auto [entry, isNew] = mByName.try_emplace(aWorkload, next);
  if (isNew) {
    mWorkloads.push_back({ .mWorkload = aWorkload });
    ApplyPolicy(mWorkloads.back(), aPolicy);
  }
  return entry->second;
}

void
WorkloadTable::Apply(const policy::CellPolicy& aPolicy)
{
  for (WorkloadRecord& record : mWorkloads) {
    ApplyPolicy(record, aPolicy);
  }
}

} // namespace oriolevane::placement
