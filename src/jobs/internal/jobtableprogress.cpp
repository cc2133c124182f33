// The part of a job table that keeps the progress records.
#include <optional>
#include <utility>

#include "jobs/internal/jobtable.h"
#include "jobs/internal/progressparts.h"
#include "jobs/internal/stepprogress.h"

namespace oriolevane::jobs {

void
JobTable::RecoverProgress(const ProgressRecord& aProgress)
{
  const RecordKey key = ProgressPart{ .mJob = aProgress.mJob,
                                      .mOccurrence = aProgress.mOccurrence,
                                      .mPart = aProgress.mPart }
                          .Key();
  mWriteQueue.NoteWritten(key);
  Job* job = Find(aProgress.mJob);
  if (job == nullptr || !job->mWindow.IsAhead(aProgress.mOccurrence)) {
    // The earlier owner made the record redundant, but did not remove it yet.
    mWriteQueue.Remove(key);
    if (job != nullptr) {
      job->mStarted = true;
    }
    return;
  }
  job->mStarted = true;
  Occurrence& occurrence = OpenOccurrence(*job, aProgress.mOccurrence);
  occurrence.mFinished |= aProgress.mFinished;
  if (occurrence.mFinished) {
    job->mWindow.Finish(aProgress.mOccurrence);
  }
  for (const StepProgress& step : aProgress.mSteps) {
    Step* target = job->FindStep(aProgress.mOccurrence, step.mStep);
    if (target != nullptr) {
      ApplyProgress(*target, step);
      MoveToOwnParts(*job, aProgress, step);
    }
  }
}

void
JobTable::MoveToOwnParts(const Job& aJob,
                         const ProgressRecord& aRecord,
                         const StepProgress& aStep)
{
  const JobSpec& spec = aJob.mRecord.mSpec;
  for (const TaskProgress& task : aStep.mTasks) {
    if (task.mIndex >= 0 && task.mIndex < spec.mSteps[aStep.mStep].mTaskCount) {
      const int part = ProgressPartOf(spec, aStep.mStep, task.mIndex);
      if (part != aRecord.mPart) {
        MarkPart(aJob.Id(), aRecord.mOccurrence, part);
      }
    }
  }
}

void
JobTable::MarkPart(const JobId& aId, int aOccurrence, int aPart)
{
  mWriteQueue.Mark(
    ProgressPart{ .mJob = aId, .mOccurrence = aOccurrence, .mPart = aPart }
      .Key());
}

void
JobTable::MarkProgress(const TaskKey& aTask)
{
  const StepKey& step = aTask.mStep;
  const Job* job = Find(step.mJob);
  if (job == nullptr) {
    return;
  }
  const JobSpec& spec = job->mRecord.mSpec;
  const StepSpec& stepSpec = spec.mSteps[step.mStep];
  // The members of a gang succeed and fail together.
  const int first = stepSpec.mGang ? 0 : aTask.mIndex;
  const int last = stepSpec.mGang ? stepSpec.mTaskCount - 1 : aTask.mIndex;
  const int lastPart = ProgressPartOf(spec, step.mStep, last);
  for (int part = ProgressPartOf(spec, step.mStep, first); part <= lastPart;
       ++part) {
    MarkPart(step.mJob, step.mOccurrence, part);
  }
}

void
JobTable::MarkFinished(const JobId& aId, int aOccurrence)
{
  MarkPart(aId, aOccurrence, 0);
}

std::optional<ProgressRecord>
JobTable::ProgressRecordOf(const std::string& aName) const
{
  const std::optional<ProgressPart> part = ParseProgressPart(aName);
  const auto found = part.has_value() ? mJobs.find(part->mJob) : mJobs.end();
  if (found == mJobs.end()) {
    return std::nullopt;
  }
  const auto occurrence = found->second.mOccurrences.find(part->mOccurrence);
  if (occurrence == found->second.mOccurrences.end()) {
    return std::nullopt;
  }
  ProgressRecord record{ .mJob = part->mJob,
                         .mOccurrence = part->mOccurrence,
                         .mPart = part->mPart,
                         .mFinished = occurrence->second.mFinished,
                         .mSteps = {} };
  const JobSpec& spec = found->second.mRecord.mSpec;
  const std::vector<Step>& steps = occurrence->second.mSteps;
  for (int number = 0; number < static_cast<int>(steps.size()); ++number) {
    const auto [first, end] = TasksOfStepInPart(spec, number, part->mPart);
    if (first == end) {
      continue;
    }
    StepProgress progress = ProgressOf(steps[number], number, first, end);
    if (!progress.mTasks.empty() || !progress.mFailedGangRuns.empty()) {
      record.mSteps.push_back(std::move(progress));
    }
  }
  return record;
}

} // namespace oriolevane::jobs
