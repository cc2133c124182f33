// Accounts for what the teams of a cell have running and waiting, and applies
// their quotas, guarantees and shares.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jobs/internal/fleet.h"
#include "jobs/internal/jobtable.h"
#include "jobs/types/scheduleroptions.h"
#include "jobs/types/teamcounts.h"
#include "teams/admissionpolicy.h"
#include "teams/fairorder.h"
#include "teams/quotaledger.h"
#include "teams/ratemeter.h"

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
  // of its gang. Otherwise logs once that the quota binds. A gang that waits
  // for the quota while it is on time holds back the steps of its team that
  // follow in the pass, as they would use what it waits for.
  bool AllowsStart(const Job& aJob, const StepSpec& aSpec, bool aOnTime);
  // As AllowsStart(), but logs nothing.
  bool QuotaAllows(const Job& aJob, const StepSpec& aSpec) const;
  // Begins a placement pass.
  void BeginPass(const Fleet& aFleet);
  // Notes that a step still waits after the pass has tried to place it.
  void NoteWaiting(const Job& aJob,
                   const Step& aStep,
                   const StepSpec& aSpec,
                   TimePoint aNow);
  // True when a gang of the job may reserve capacity: borrowers do so only
  // while no guaranteed work waits.
  bool MayReserve(const Job& aJob) const
  {
    return !aJob.mRecord.mBorrows || !mGuaranteedWaits;
  }
  // Ends a placement pass: a quota that refused no start in it binds no more.
  void EndPass();

  // True when a job that is submitted now exceeds its team's guaranteed rate.
  // Uses up a part of the guarantee otherwise.
  bool MeterSubmission(const TeamId& aTeam,
                       const JobSpec& aSpec,
                       TimePoint aNow);
  // Returns why a job must be refused that is not known yet, or nothing when it
  // can be submitted. Counts and logs the refusal.
  std::optional<Refusal> RefusalFor(const JobId& aId,
                                    const TeamId& aTeam,
                                    const JobSpec& aSpec,
                                    TimePoint aNow);
  // The sort keys of waiting steps of borrowing jobs; see teams::FairOrder.
  std::vector<double> FairKeys(
    const std::vector<teams::WaitingDemand>& aDemands) const;
  // Counts of a team without its waiting jobs.
  TeamCounts CountsOf(const TeamId& aTeam) const;
  const teams::QuotaLedger& Ledger() const { return mLedger; }

private:
  std::optional<Refusal> FindRefusal(const JobId& aId,
                                     const TeamId& aTeam,
                                     const JobSpec& aSpec,
                                     TimePoint aNow) const;

  teams::QuotaLedger mLedger;
  teams::RateMeter mMeter;
  teams::FairOrder mOrder;
  teams::AdmissionPolicy mAdmission;
  // Refused jobs of the configured teams.
  std::map<TeamId, std::map<RefusalReason, std::uint64_t>> mRefused;
  // Guaranteed work that could start now waits for capacity.
  bool mGuaranteedWaits = false;
  bool mHasTeams = false;
  // Teams whose quota refused a start in the last pass and in the present one.
  std::set<TeamId> mBound;
  std::set<TeamId> mBoundInPass;
  // Teams with a gang that waits for the quota in the present pass.
  std::set<TeamId> mHeldForGang;
};

} // namespace oriolevane::jobs
