// One version of the operators' configuration, as the deciding modules read it.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "framework/types/ids.h"
#include "framework/types/resources.h"
#include "policy/types/workloadpolicy.h"

namespace oriolevane::policy {

// The most a team may have granted at once, and its weight in dominant resource
// fairness.
struct TeamQuota
{
  TeamId mTeam;
  Resources mLimit;
  double mWeight = 1.0;

  bool operator==(const TeamQuota&) const = default;
};

struct CellPolicy
{
  ConfigurationVersion mVersion;
  std::map<WorkloadId, WorkloadPolicy> mWorkloads;
  std::map<TeamId, TeamQuota> mTeams;
  // Share of each worker's capacity that may be granted, in thousandths; at
  // most 1000.
  std::uint32_t mGrantablePerMille = 1000;
  // Requests a second that the cell accepts in all; split evenly over the
  // partitions.
  double mAdmissionRate = 2000;
  // Hosts that an operator drains: no new work.
  std::set<WorkerId> mDrainedWorkers;
  std::set<NodeId> mDrainedNodes;

  bool operator==(const CellPolicy&) const = default;
};

} // namespace oriolevane::policy
