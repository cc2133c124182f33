// The part of the dispatcher that chooses the workers of tasks.
#include "jobs/internal/dispatcher.h"
#include "jobs/internal/placementcost.h"
#include "jobs/internal/singletasklimits.h"
#include "jobs/internal/workertrial.h"

namespace oriolevane::jobs {

EligibleWorker*
Dispatcher::ChooseWorker(const Candidate& aCandidate,
                         const Task& aTask,
                         std::vector<EligibleWorker>& aEligible)
{
  const StepSpec& spec = aCandidate.Spec();
  const bool canWait = !spec.mGang && HasAmpleSlack(aCandidate);
  const PlacementCostOptions costs{
    .mRemoteFactor = mCell.mOptions.mRemoteFactor,
    .mSpeedsKnown = mUsable.SpeedsKnown(),
    .mPreferFast = mCell.mSpeedPreference.PrefersFast(*aCandidate.mJob,
                                                      aCandidate.mKey.mStep)
  };
  const JobId& job = aCandidate.mJob->Id();
  const StartRule rule =
    mCell.mIsolatedStarts.RuleFor(aCandidate.mKey, spec, aTask);
  mAwaitsIsolation = rule == StartRule::Nowhere;
  if (mAwaitsIsolation) {
    mCapacityWithheld = true;
    return nullptr;
  }
  const WorkerId* worthHolding = nullptr;
  EligibleWorker* best = nullptr;
  double bestCost = 0;
  for (EligibleWorker& choice : aEligible) {
    const Worker& worker = *choice.mWorker;
    if (!worker.HasRoomFor(spec.mResources) ||
        !IsBelowPerWorkerLimit(choice, aCandidate.mKey, spec) ||
        IsTrialFull(worker, mNow)) {
      continue;
    }
    if (canWait && choice.mLeftToGangs) {
      mCapacityWithheld = true;
      continue;
    }
    if (!mGangReservations.Allows(&worker, spec)) {
      mCapacityWithheld = true;
      continue;
    }
    if (!mCell.mIsolatedStarts.Allows(job, worker.Id())) {
      mCapacityWithheld = true;
      continue;
    }
    if (!mCell.mIsolatedStarts.Suits(rule, job, aTask, worker)) {
      mCapacityWithheld = true;
      mAwaitsIsolation = true;
      if (!aTask.mCrashes.HasEvidenceOn(worker.Id())) {
        worthHolding = &worker.Id();
      }
      continue;
    }
    const double cost =
      PlacementCost(worker, spec, costs) + CrashRiskCost(worker, job, aTask);
    if (best == nullptr || cost < bestCost) {
      best = &choice;
      bestCost = cost;
    }
  }
  if (best == nullptr && worthHolding != nullptr &&
      rule == StartRule::Isolated) {
    mCell.mIsolatedStarts.Hold(job, *worthHolding);
  }
  return best;
}

std::vector<const EligibleWorker*>
Dispatcher::ChooseGangWorkers(const Candidate& aCandidate,
                              std::vector<EligibleWorker>& aEligible)
{
  const StepSpec& spec = aCandidate.Spec();
  std::vector<const EligibleWorker*> chosen;
  // Counts the capacity of each chosen member as used while choosing the next
  // one, and undoes that below.
  for (const Task& task : aCandidate.mStep->mTasks) {
    EligibleWorker* choice = ChooseWorker(aCandidate, task, aEligible);
    if (choice == nullptr) {
      break;
    }
    ++choice->mPlannedMembers;
    choice->mWorker->mUsed += spec.mResources;
    chosen.push_back(choice);
  }
  for (const EligibleWorker* choice : chosen) {
    choice->mWorker->mUsed -= spec.mResources;
  }
  return chosen;
}

} // namespace oriolevane::jobs
