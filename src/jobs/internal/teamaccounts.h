// Accounts for what the teams of a cell have running, and for what runs of an
// earlier owner they may have.
#pragma once

#include <set>

#include "jobs/internal/fleet.h"
#include "jobs/internal/jobtable.h"
#include "jobs/types/scheduleroptions.h"
#include "teams/quotaledger.h"

namespace oriolevane::jobs {

class TeamAccounts
{
public:
  explicit TeamAccounts(const SchedulerOptions& aOptions)
    : mLedger({ .mExcess = aOptions.mQuotaExcess })
  {
  }

  void Configure(const CellConfiguration& aConfiguration);
  // True when the configuration has teams.
  bool HasTeams() const { return mHasTeams; }
  // Must be called for each run that is added to or removed from a worker.
  void AddRun(const Run& aRun) { mLedger.Add(aRun.mTeam, aRun.mResources); }
  void RemoveRun(const Run& aRun)
  {
    mLedger.Remove(aRun.mTeam, aRun.mResources);
  }
  // Computes which runs of an earlier owner may not have been found yet.
  void UpdatePresumed(const JobTable& aJobs, const Fleet& aFleet);
  // Notes that all runs of earlier owners are known.
  void ClearPresumed() { mLedger.ClearPresumed(); }

  // True when the team's quota allows one more task of the step, or all members
  // of its gang. Otherwise logs once that the quota binds. A gang that waits for
  // the quota while it is on time holds back the steps of its team that follow
  // in the pass, as they would use what it waits for.
  bool AllowsStart(const Job& aJob, const StepSpec& aSpec, bool aOnTime);
  // As AllowsStart(), but logs nothing.
  bool QuotaAllows(const Job& aJob, const StepSpec& aSpec) const;
  // Begins a placement pass.
  void BeginPass();
  // Ends a placement pass: a quota that refused no start in it binds no more.
  void EndPass();

  const teams::QuotaLedger& Ledger() const { return mLedger; }

private:
  teams::QuotaLedger mLedger;
  bool mHasTeams = false;
  // Teams whose quota refused a start in the last pass and in the present one.
  std::set<TeamId> mBound;
  std::set<TeamId> mBoundInPass;
  // Teams with a gang that waits for the quota in the present pass.
  std::set<TeamId> mHeldForGang;
};

} // namespace oriolevane::jobs
