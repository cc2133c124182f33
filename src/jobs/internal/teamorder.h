// Orders the waiting steps of teams.
#pragma once

#include <vector>

#include "jobs/internal/candidates.h"
#include "jobs/internal/teamaccounts.h"

namespace oriolevane::jobs {

// Reorders candidates that are in the order of their urgency. Among those that
// are alike in whether they can meet their objective, the steps of borrowing
// jobs come last, the team with the smallest weighted dominant share first.
void
OrderForTeams(std::vector<Candidate>& aCandidates, const TeamAccounts& aTeams);

} // namespace oriolevane::jobs
