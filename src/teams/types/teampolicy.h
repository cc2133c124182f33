// The operator's configuration of a team that shares the cell with others.
#pragma once

#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/resources.h"

namespace oriolevane::teams {

struct TeamPolicy
{
  TeamId mName;
  // API keys that the team's callers present. All of them have the same rights.
  std::vector<std::string> mKeys;
  // The team's share of a full cell, relative to the weights of the others, and
  // the number of jobs a second that it is guaranteed.
  double mWeight = 1.0;
  // Limit of what the team's tasks may use at the same time on all workers
  // together; an amount of 0 is no limit.
  Resources mQuota;

  bool operator==(const TeamPolicy&) const = default;
};

} // namespace oriolevane::teams
