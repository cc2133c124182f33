#include "jobs/internal/job.h"

#include <algorithm>

namespace oriolevane::jobs {

bool
Step::HasRuns() const
{
  return std::any_of(mTasks.begin(), mTasks.end(), [](const Task& aTask) {
    return !aTask.mRuns.empty();
  });
}

bool
Step::HasWaitingTasks(const StepSpec& aSpec) const
{
  if (aSpec.mGang) {
    return !IsDone() && !HasRuns();
  }
  return std::any_of(mTasks.begin(), mTasks.end(), [](const Task& aTask) {
    return aTask.IsWaiting();
  });
}

bool
Occurrence::HasSeenDependenciesOf(const StepSpec& aSpec) const
{
  return std::any_of(
    aSpec.mAfter.begin(), aSpec.mAfter.end(), [this](int aEarlier) {
      return mSteps[aEarlier].mOutlivedPredecessor;
    });
}

bool
Occurrence::HasRuns() const
{
  return std::any_of(mSteps.begin(), mSteps.end(), [](const Step& aStep) {
    return aStep.HasRuns();
  });
}

bool
Job::HasRuns() const
{
  return std::any_of(
    mOccurrences.begin(), mOccurrences.end(), [](const auto& aEntry) {
      return aEntry.second.HasRuns();
    });
}

Step*
Job::FindStep(int aOccurrence, int aStep)
{
  const auto found = mOccurrences.find(aOccurrence);
  if (found == mOccurrences.end() || aStep < 0 ||
      aStep >= static_cast<int>(found->second.mSteps.size())) {
    return nullptr;
  }
  return &found->second.mSteps[aStep];
}

Task*
Job::FindTask(const TaskKey& aKey)
{
  Step* step = FindStep(aKey.mStep.mOccurrence, aKey.mStep.mStep);
  if (step == nullptr || aKey.mIndex < 0 ||
      aKey.mIndex >= static_cast<int>(step->mTasks.size())) {
    return nullptr;
  }
  return &step->mTasks[aKey.mIndex];
}

void
Job::ForgetFailedAttempts()
{
  for (auto& [number, occurrence] : mOccurrences) {
    for (Step& step : occurrence.mSteps) {
      step.mTriedGeneration = 0;
    }
  }
}

void
Job::ForEachTask(
  const std::function<void(const TaskKey&, const Task&)>& aFunction) const
{
  for (const auto& [number, occurrence] : mOccurrences) {
    for (std::size_t step = 0; step < occurrence.mSteps.size(); ++step) {
      TaskKey key{ .mStep = { .mJob = Id(),
                              .mOccurrence = number,
                              .mStep = static_cast<int>(step) } };
      for (const Task& task : occurrence.mSteps[step].mTasks) {
        aFunction(key, task);
        ++key.mIndex;
      }
    }
  }
}

Occurrence
MakeOccurrence(const JobSpec& aSpec)
{
  Occurrence occurrence;
  for (const StepSpec& step : aSpec.mSteps) {
    occurrence.mSteps.emplace_back().mTasks.resize(step.mTaskCount);
  }
  return occurrence;
}

} // namespace oriolevane::jobs
