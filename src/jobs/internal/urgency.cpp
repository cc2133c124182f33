#include "jobs/internal/urgency.h"

#include <algorithm>

namespace oriolevane::jobs {

namespace {

// Number of workers that a step is assumed to ask the policy service about,
// when the duration of its query is added to the objective.
constexpr std::int64_t kQueriedWorkersPerStep = 30;
// The result of a job that would end more than this many objectives after it
// was accepted, or after its occurrence was due, is of no use to the caller.
constexpr int kObjectivesUntilExpiry = 3;

Duration
StepTime(const JobRecord& aRecord, const StepSpec& aStep)
{
  Duration time = aStep.mEstimate;
  const std::optional<AdvicePolicy>& advice = aRecord.mQueue.mAdvice;
  if (advice.has_value()) {
    time +=
      advice->mDecisionTime + advice->mTimePerWorker * kQueriedWorkersPerStep;
  }
  return time;
}

// A long-running task is of use whenever it starts. Its objective counts from
// when it began to wait, and is never too late to be met.
Urgency
UrgencyOfLongRunning(const Job& aJob, const StepKey& aStep, TimePoint aNow)
{
  const Step& step =
    aJob.mOccurrences.at(aStep.mOccurrence).mSteps[aStep.mStep];
  const Duration slack =
    step.mWaitingSince.value_or(aNow) + aJob.mTimes.mObjective - aNow;
  return { .mObjectiveStatus = ObjectiveStatus::OnTime,
           .mPriority = aJob.mRecord.mQueue.mPriority,
           .mSortKey = slack,
           .mSlack = slack };
}

// The estimated time from the start of each step to the end of the job, along
// the longest chain of dependent steps. Steps depend only on earlier ones, so a
// single pass from the last to the first visits each dependency once.
std::vector<Duration>
CriticalPaths(const JobRecord& aRecord)
{
  const std::vector<StepSpec>& steps = aRecord.mSpec.mSteps;
  std::vector<Duration> paths(steps.size());
  for (std::size_t step = steps.size(); step-- > 0;) {
    // Until here, the entry is the longest path of the steps that follow.
    paths[step] += StepTime(aRecord, steps[step]);
    for (const int earlier : steps[step].mAfter) {
      paths[earlier] = std::max(paths[earlier], paths[step]);
    }
  }
  return paths;
}

} // namespace

JobTimes
ComputeJobTimes(const JobRecord& aRecord)
{
  JobTimes times{ .mCriticalPathFrom = CriticalPaths(aRecord) };
  Duration longest{};
  for (const Duration path : times.mCriticalPathFrom) {
    longest = std::max(longest, path);
  }
  times.mObjective =
    std::chrono::duration_cast<Duration>(longest * aRecord.mQueue.mStretch) +
    aRecord.mQueue.mLatencyTarget;
  return times;
}

Urgency
UrgencyInOrder(SchedulingOrder aOrder,
               const Job& aJob,
               const StepKey& aStep,
               const Moment& aNow)
{
  Urgency urgency = UrgencyOf(aJob, aStep, aNow);
  if (aOrder == SchedulingOrder::Urgency) {
    return urgency;
  }
  urgency.mObjectiveStatus = ObjectiveStatus::OnTime;
  urgency.mSortKey = aJob.mAcceptedAt.time_since_epoch();
  if (aOrder == SchedulingOrder::Arrival) {
    urgency.mPriority = 0;
  }
  return urgency;
}

Urgency
UrgencyOf(const Job& aJob, const StepKey& aStep, const Moment& aNow)
{
  if (aJob.mRecord.mSpec.mSteps[aStep.mStep].mLongRunning) {
    return UrgencyOfLongRunning(aJob, aStep, aNow.mSteady);
  }
  TimePoint start = aJob.mAcceptedAt;
  const std::optional<Repetition>& repetition = aJob.mRecord.mSpec.mRepetition;
  if (repetition.has_value()) {
    start = aNow.mSteady - (aNow.mUnix - repetition->DueAt(aStep.mOccurrence));
  }
  const Duration objective = aJob.mTimes.mObjective;
  const Duration remaining = aJob.mTimes.mCriticalPathFrom[aStep.mStep];
  const Duration slack = start + objective - aNow.mSteady - remaining;
  const Duration untilExpiry =
    start + kObjectivesUntilExpiry * objective - aNow.mSteady - remaining;
  ObjectiveStatus status = ObjectiveStatus::OnTime;
  if (slack < Duration::zero()) {
    status = untilExpiry < Duration::zero() ? ObjectiveStatus::Expired
                                            : ObjectiveStatus::Late;
  }
  return { .mObjectiveStatus = status,
           .mPriority = aJob.mRecord.mQueue.mPriority,
           .mSortKey = slack,
           .mSlack = slack };
}

} // namespace oriolevane::jobs
