// Tracks what each team has running, and decides whether its quota allows more.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/resources.h"
#include "teams/types/teampolicy.h"

namespace oriolevane::teams {

struct QuotaOptions
{
  // The part of a quota by which a gang may exceed it. Other tasks stay within
  // the quota, so that the excess covers what cannot be known.
  double mExcess = 0.0;
};

// The usage and quotas of all teams. Teams without a policy, and work without a
// team, are not limited.
class QuotaLedger
{
public:
  explicit QuotaLedger(const QuotaOptions& aOptions = {})
    : mOptions(aOptions)
  {
  }

  // Replaces the quotas. The usage stays as it is.
  void Configure(const std::vector<TeamPolicy>& aTeams);
  // Adds or removes one run of a team.
  void Add(const TeamId& aTeam, const Resources& aTask);
  void Remove(const TeamId& aTeam, const Resources& aTask);
  // Sets the usage of runs that an earlier owner may have started and that have
  // not been found yet.
  void SetPresumed(const TeamId& aTeam, const Resources& aUsage);
  void ClearPresumed();

  // True when one more task may start. A task that is larger than the quota may
  // start when its team has nothing else running.
  bool Allows(const TeamId& aTeam, const Resources& aTask) const;
  // True when all members of a gang may start. A gang may use the excess, and
  // one task more when its team has nothing else running.
  bool AllowsGang(const TeamId& aTeam,
                  const Resources& aTask,
                  int aMembers) const;
  // False when a gang could not start even if its team had nothing else
  // running.
  bool CanEverFit(const TeamId& aTeam,
                  const Resources& aTask,
                  int aMembers) const;

  // The resources of the runs that are known.
  Resources UsageOf(const TeamId& aTeam) const;
  // The number of runs that are known.
  std::int64_t RunsOf(const TeamId& aTeam) const;
  Resources PresumedOf(const TeamId& aTeam) const;
  // Amounts of 0 are no limit.
  Resources QuotaOf(const TeamId& aTeam) const;

private:
  struct Account
  {
    Resources mQuota;
    Resources mUsage;
    std::int64_t mRuns = 0;
    Resources mPresumed;

    bool IsIdle() const { return mRuns == 0 && mPresumed == Resources(); }
  };

  // Returns nullptr for a team without quota and runs.
  const Account* Find(const TeamId& aTeam) const;
  // True when the amounts exceed no limit that is raised by aExcess.
  static bool IsWithin(const Resources& aAmounts,
                       const Resources& aQuota,
                       double aExcess);

  QuotaOptions mOptions;
  std::unordered_map<TeamId, Account> mAccounts;
};

} // namespace oriolevane::teams
