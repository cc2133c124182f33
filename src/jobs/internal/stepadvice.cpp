#include "jobs/internal/stepadvice.h"

#include <algorithm>

namespace oriolevane::jobs {

bool
StepAdvice::IsApproved(const Worker* aWorker) const
{
  return std::any_of(
    mApproved.begin(), mApproved.end(), [aWorker](const Approval& aApproval) {
      return aApproval.mWorker == aWorker;
    });
}

bool
StepAdvice::IsRefused(const Worker* aWorker) const
{
  return mAsked.contains(aWorker) && !IsApproved(aWorker);
}

void
StepAdvice::Forget(const Worker* aWorker)
{
  mAsked.erase(aWorker);
  std::erase_if(mApproved, [aWorker](const Approval& aApproval) {
    return aApproval.mWorker == aWorker;
  });
}

void
StepAdvice::DropTicket(const Worker* aWorker)
{
  for (Approval& approval : mApproved) {
    if (approval.mWorker == aWorker) {
      approval.mUsableUntil = {};
    }
  }
  mFreshUntil = {};
}

} // namespace oriolevane::jobs
