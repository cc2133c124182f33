#include "configuration/cellpolicyreader.h"

#include <cstdint>
#include <string>

#include "settings/objectreader.h"

namespace oriolevane::configuration {

using settings::ObjectReader;
using settings::Range;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t kMaxAmount = 1'000'000'000'000;
constexpr std::int64_t kPerMille = 1'000;
constexpr std::size_t kMaxNameBytes = 128;
constexpr milliseconds kDay{ 86'400'000 };

Resources
ReadAmounts(ObjectReader& aReader, const Resources& aFallback)
{
  const Range<std::int64_t> range{ 0, kMaxAmount };
  return Resources{
    .mMilliCores = aReader.Integer("milli_cores", range, aFallback.mMilliCores),
    .mMemoryMiB = aReader.Integer("memory_mib", range, aFallback.mMemoryMiB),
    .mAccelerators =
      aReader.Integer("accelerators", range, aFallback.mAccelerators),
    .mSlots = aReader.Integer("slots", range, aFallback.mSlots)
  };
}

void
ReadWeights(ObjectReader& aReader, policy::PlacementWeights& aWeights)
{
  const Range<double> range{ 0, 1'000 };
  aWeights.mPacking = aReader.Number("packing", range, aWeights.mPacking);
  aWeights.mWaiting = aReader.Number("waiting", range, aWeights.mWaiting);
  aWeights.mSpread = aReader.Number("spread", range, aWeights.mSpread);
}

void
ReadRetry(ObjectReader& aReader, policy::RetryPolicy& aRetry)
{
  aRetry.mMaxAttempts = static_cast<std::uint32_t>(
    aReader.Integer("max_attempts", { 1, 100 }, aRetry.mMaxAttempts));
  aRetry.mBackoffBase = aReader.Milliseconds(
    "backoff_base_ms", { milliseconds(1), kDay }, aRetry.mBackoffBase);
  aRetry.mBackoffCap = aReader.Milliseconds(
    "backoff_cap_ms", { milliseconds(1), kDay }, aRetry.mBackoffCap);
  aRetry.mBudgetRatio =
    aReader.Number("budget_ratio", { 0, 10 }, aRetry.mBudgetRatio);
  aRetry.mBudgetBurst =
    aReader.Number("budget_burst", { 0, 1'000'000 }, aRetry.mBudgetBurst);
  if (aRetry.mBackoffCap < aRetry.mBackoffBase) {
    aReader.Reject("backoff_cap_ms", "must be at least backoff_base_ms");
  }
}

policy::Spread
SpreadOf(const std::string& aWord)
{
  if (aWord == "rack") {
    return policy::Spread::Rack;
  }
  return aWord == "zone" ? policy::Spread::Zone : policy::Spread::None;
}

policy::WorkloadPolicy
ReadWorkload(const std::string& aName, ObjectReader& aReader)
{
  policy::WorkloadPolicy workload{ .mWorkload = WorkloadId(aName) };
  aReader.Object("placement", [&](ObjectReader& aNested) {
    ReadWeights(aNested, workload.mWeights);
  });
  workload.mSpread =
    SpreadOf(aReader.Word("spread_over", { "none", "rack", "zone" }, "none"));
  aReader.Object("retry", [&](ObjectReader& aNested) {
    ReadRetry(aNested, workload.mRetry);
  });
  workload.mPreemptible = aReader.Boolean("preemptible", workload.mPreemptible);
  workload.mToleratedWait = aReader.Milliseconds(
    "tolerated_wait_ms", { milliseconds(1), kDay }, workload.mToleratedWait);
  workload.mObjective =
    aReader.Number("objective", { 0.5, 0.99999 }, workload.mObjective);
  aReader.Object("per_task_limit", [&](ObjectReader& aNested) {
    workload.mPerTaskLimit = ReadAmounts(aNested, workload.mPerTaskLimit);
  });
  return workload;
}

policy::TeamQuota
ReadTeam(const std::string& aName, ObjectReader& aReader)
{
  const Resources unlimited{ kMaxAmount, kMaxAmount, kMaxAmount, kMaxAmount };
  policy::TeamQuota team{ .mTeam = TeamId(aName), .mLimit = unlimited };
  aReader.Object("limit", [&](ObjectReader& aNested) {
    team.mLimit = ReadAmounts(aNested, unlimited);
  });
  team.mWeight = aReader.Number("weight", { 0.001, 1'000 }, team.mWeight);
  return team;
}

bool
IsName(ObjectReader& aReader, const std::string& aName)
{
  if (!aName.empty() && aName.size() <= kMaxNameBytes) {
    return true;
  }
  aReader.Reject("", "a name must have from 1 to 128 bytes");
  return false;
}

// Members are written as {"name": true}, so that patches to different members
// do not overlap.
template<typename Id>
void
ReadMembers(ObjectReader& aReader, std::set<Id>& aMembers)
{
  for (const std::string& key : aReader.Keys()) {
    if (aReader.Boolean(key)) {
      aMembers.insert(Id(key));
    }
  }
}

void
ReadPolicy(ObjectReader& aReader, policy::CellPolicy& aPolicy)
{
  aReader.EachObject(
    "workloads", [&](const std::string& aName, ObjectReader& aNested) {
      if (IsName(aNested, aName)) {
        aPolicy.mWorkloads[WorkloadId(aName)] = ReadWorkload(aName, aNested);
      }
    });
  aReader.EachObject(
    "teams", [&](const std::string& aName, ObjectReader& aNested) {
      if (IsName(aNested, aName)) {
        aPolicy.mTeams[TeamId(aName)] = ReadTeam(aName, aNested);
      }
    });
  aReader.Object("capacity", [&](ObjectReader& aNested) {
    aPolicy.mGrantablePerMille = static_cast<std::uint32_t>(aNested.Integer(
      "grantable_per_mille", { 0, kPerMille }, aPolicy.mGrantablePerMille));
  });
  aReader.Object("admission", [&](ObjectReader& aNested) {
    aPolicy.mAdmissionRate =
      aNested.Number("rate_per_s", { 0.1, 1'000'000 }, aPolicy.mAdmissionRate);
  });
  aReader.Object("drained", [&](ObjectReader& aNested) {
    aNested.Object("workers", [&](ObjectReader& aWorkers) {
      ReadMembers(aWorkers, aPolicy.mDrainedWorkers);
    });
    aNested.Object("nodes", [&](ObjectReader& aNodes) {
      ReadMembers(aNodes, aPolicy.mDrainedNodes);
    });
  });
}

} // namespace

absl::StatusOr<policy::CellPolicy>
ParseCellPolicy(std::string_view aBody, ConfigurationVersion aVersion)
{
  policy::CellPolicy policy;
  policy.mVersion = aVersion;
  const absl::Status status = settings::ReadSettingsText(
    aBody, [&](ObjectReader& aReader) { ReadPolicy(aReader, policy); });
  if (!status.ok()) {
    return status;
  }
  return policy;
}

} // namespace oriolevane::configuration
