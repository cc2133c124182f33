// Collects the steps with tasks that are waiting to start, in the order in
// which they are considered for placement.
#pragma once

#include <vector>

#include "jobs/internal/adviceplanner.h"
#include "jobs/internal/cellstate.h"
#include "jobs/internal/urgency.h"

namespace oriolevane::jobs {

// A step with tasks that are waiting to start.
struct Candidate
{
  Job* mJob = nullptr;
  Step* mStep = nullptr;
  StepKey mKey;
  Urgency mUrgency;

  const StepSpec& Spec() const
  {
    return mJob->mRecord.mSpec.mSteps[mKey.mStep];
  }
};

class CandidateCollector
{
public:
  CandidateCollector(CellState& aCell, AdvicePlanner& aAdvice)
    : mCell(aCell)
    , mAdvice(aAdvice)
  {
  }

  // Returns the candidates of all open jobs, the first to be placed first. What
  // an earlier owner may have started is left out until aReconciled. Also
  // queries the policy service for steps that become ready soon.
  std::vector<Candidate> Collect(const Moment& aNow, bool aReconciled);
  // The processors that the unfinished gangs of the open jobs take in each
  // pool, waiting or running, as of the last Collect().
  const PoolMilliCores& GangDemand() const { return mGangDemand; }

private:
  // aRunsKnown is false while the job may have runs that this node does not
  // know.
  void CollectJobCandidates(Job& aJob,
                            bool aRunsKnown,
                            const Moment& aNow,
                            std::vector<Candidate>& aCandidates);

  CellState& mCell;
  AdvicePlanner& mAdvice;
  // Advice queries of the open jobs that have not been answered.
  PendingAdvice mPendingAdvice;
  PoolMilliCores mGangDemand;
};

} // namespace oriolevane::jobs
