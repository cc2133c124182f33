#include "jobs/internal/candidates.h"

#include <algorithm>

#include "jobs/internal/teamorder.h"

namespace oriolevane::jobs {

namespace {

bool
IsReady(const Occurrence& aOccurrence, const StepSpec& aSpec)
{
  return std::all_of(
    aSpec.mAfter.begin(), aSpec.mAfter.end(), [&](int aEarlier) {
      return aOccurrence.mSteps[aEarlier].IsDone();
    });
}

} // namespace

std::vector<Candidate>
CandidateCollector::Collect(const Moment& aNow, bool aReconciled)
{
  std::vector<Candidate> candidates;
  mPendingAdvice = {};
  mGangDemand.clear();
  for (auto& [id, job] : mCell.mJobs.Jobs()) {
    if (job.mPhase == JobPhase::Open) {
      CollectJobCandidates(
        job, aReconciled || !job.mRecovered, aNow, candidates);
    }
  }
  mAdvice.BeginPass(mPendingAdvice);
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return aLeft.mUrgency < aRight.mUrgency;
            });
  if (mCell.mTeams.HasTeams() &&
      mCell.mOptions.mOrder == SchedulingOrder::Urgency) {
    OrderForTeams(candidates, mCell.mTeams);
  }
  return candidates;
}

void
CandidateCollector::CollectJobCandidates(Job& aJob,
                                         bool aRunsKnown,
                                         const Moment& aNow,
                                         std::vector<Candidate>& aCandidates)
{
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    if (occurrence.mFinished) {
      continue;
    }
    for (std::size_t index = 0; index < occurrence.mSteps.size(); ++index) {
      Step& step = occurrence.mSteps[index];
      const StepKey key{ .mJob = aJob.Id(),
                         .mOccurrence = number,
                         .mStep = static_cast<int>(index) };
      const StepSpec& spec = aJob.mRecord.mSpec.mSteps[index];
      mPendingAdvice.mQueries += step.mAdvice.mPendingQueries;
      mPendingAdvice.mServiceTime += step.mAdvice.mPendingServiceTime;
      if (spec.mGang && !step.IsDone()) {
        mGangDemand[aJob.mRecord.mQueue.mPool] +=
          spec.mResources.mMilliCores * spec.mTaskCount;
      }
      if (step.IsDone() || !step.HasWaitingTasks(spec)) {
        step.mWaitingSince.reset();
        continue;
      }
      if (!aRunsKnown && !occurrence.HasSeenDependenciesOf(spec)) {
        continue;
      }
      if (!IsReady(occurrence, spec)) {
        mAdvice.QueryAhead(aJob, key, aNow.mSteady);
        continue;
      }
      if (!step.mReadyAt.has_value()) {
        step.mReadyAt = aNow.mSteady;
      }
      if (!step.mWaitingSince.has_value()) {
        step.mWaitingSince = aNow.mSteady;
      }
      aCandidates.push_back(
        { .mJob = &aJob,
          .mStep = &step,
          .mKey = key,
          .mUrgency = UrgencyInOrder(mCell.mOptions.mOrder, aJob, key, aNow) });
    }
  }
}

} // namespace oriolevane::jobs
