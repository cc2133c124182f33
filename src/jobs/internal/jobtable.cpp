#include "jobs/internal/jobtable.h"

#include <algorithm>
#include <utility>

#include "footprint/jobfootprint.h"
#include "jobs/internal/progressparts.h"
#include "jobs/internal/urgency.h"

namespace oriolevane::jobs {

namespace {

RecordKey
JobKey(const JobId& aId)
{
  return { .mKind = RecordKind::Job, .mName = aId.mValue };
}

RecordKey
FinishedKey(const JobId& aId)
{
  return { .mKind = RecordKind::Finished, .mName = aId.mValue };
}

occurrences::OccurrenceWindow
MakeWindow(const JobSpec& aSpec, int aFinishedBefore)
{
  const std::optional<Repetition>& repetition = aSpec.mRepetition;
  return occurrences::OccurrenceWindow(
    { .mCount = repetition.has_value() ? repetition->mCount : 1,
      .mTasks = aSpec.TaskCount(),
      .mSteps = static_cast<std::int64_t>(aSpec.mSteps.size()),
      .mFinishedBefore = aFinishedBefore });
}

footprint::JobFootprint
FootprintOf(const JobSpec& aSpec)
{
  const occurrences::OccurrenceWindow window = MakeWindow(aSpec, 0);
  footprint::JobDimensions job{ .mTasks = aSpec.TaskCount(),
                                .mSteps = static_cast<std::int64_t>(
                                  aSpec.mSteps.size()),
                                .mOccurrences = window.End() - window.Begin(),
                                .mTextBytes = aSpec.mPayload.size() };
  for (const StepSpec& step : aSpec.mSteps) {
    job.mDependencies += static_cast<std::int64_t>(step.mAfter.size());
    job.mTextBytes +=
      step.mRequiredLabel.size() + step.mDataRack.size() + step.mImage.size();
  }
  return footprint::EstimateFootprint(job);
}

} // namespace

Job*
JobTable::Find(const JobId& aId)
{
  const auto found = mJobs.find(aId);
  return found == mJobs.end() ? nullptr : &found->second;
}

bool
JobTable::HasRoomFor(const JobSpec& aSpec) const
{
  return mBudget.HasRoomFor(FootprintOf(aSpec));
}

void
JobTable::SetRecord(Job& aJob, JobRecord aRecord)
{
  aJob.mRecord = std::move(aRecord);
  JobSpec& spec = aJob.mRecord.mSpec;
  // A caller may have sent them, and an earlier release recorded them.
  spec.RemoveRepeatedDependencies();
  aJob.mTimes = ComputeJobTimes(aJob.mRecord);
  aJob.mWindow = MakeWindow(spec, aJob.mRecord.mFinishedBefore);
  aJob.mFootprint = FootprintOf(spec);
  mBudget.Add(aJob.mFootprint);
}

void
JobTable::RemoveUnrecorded(const JobId& aId)
{
  const auto found = mJobs.find(aId);
  if (found != mJobs.end()) {
    mBudget.Remove(found->second.mFootprint);
    mJobs.erase(found);
  }
}

Job&
JobTable::Add(JobRecord aRecord, const Moment& aNow)
{
  const JobId id = aRecord.mId;
  Job& job = mJobs[id];
  SetRecord(job, std::move(aRecord));
  job.mAcceptedAt = aNow.mSteady;
  job.mRecordPosition = mWriteQueue.Mark(JobKey(id));
  return job;
}

void
JobTable::Recover(const CellRecords& aRecords, const Moment& aNow)
{
  for (const FinishedRecord& finished : aRecords.mFinished) {
    mWriteQueue.NoteWritten(FinishedKey(finished.mId));
    mFinished[finished.mId] = { .mRecord = finished, .mRecordPosition = {} };
    mFinishedOrder.emplace(finished.mFinishedAt, finished.mId);
  }
  for (const JobRecord& record : aRecords.mJobs) {
    mWriteQueue.NoteWritten(JobKey(record.mId));
    Job& job = mJobs[record.mId];
    SetRecord(job, record);
    const std::chrono::milliseconds age =
      std::max(aNow.mUnix - record.mAcceptedAt, std::chrono::milliseconds(0));
    job.mAcceptedAt = aNow.mSteady - age;
    job.mRecovered = true;
    job.mPhase =
      FindFinished(record.mId) != nullptr ? JobPhase::Closed : JobPhase::Open;
    OpenDueOccurrences(job, aNow);
  }
  for (const ProgressRecord& progress : aRecords.mProgress) {
    RecoverProgress(progress);
  }
}

Occurrence&
JobTable::OpenOccurrence(Job& aJob, int aNumber)
{
  const auto [entry, added] = aJob.mOccurrences.try_emplace(aNumber);
  if (added) {
    entry->second = MakeOccurrence(aJob.mRecord.mSpec);
  }
  return entry->second;
}

void
JobTable::OpenDueOccurrences(Job& aJob, const Moment& aNow)
{
  const std::optional<Repetition>& repetition = aJob.mRecord.mSpec.mRepetition;
  int& next = aJob.mNextOccurrence;
  next = std::max(next, aJob.mWindow.Begin());
  while (next < aJob.mWindow.End() &&
         (!repetition.has_value() || repetition->DueAt(next) <= aNow.mUnix)) {
    OpenOccurrence(aJob, next);
    ++next;
  }
}

void
JobTable::OpenReportedOccurrence(Job& aJob, int aNumber)
{
  if (aJob.mPhase != JobPhase::Closed && aJob.mWindow.IsAhead(aNumber)) {
    OpenOccurrence(aJob, aNumber);
  }
}

void
JobTable::RecordFinishedOccurrences(Job& aJob)
{
  if (!aJob.mWindow.IsWorthRecording()) {
    return;
  }
  const int finishedBefore = aJob.mRecord.mFinishedBefore;
  if (finishedBefore == aJob.mWindow.Begin()) {
    aJob.mRecord.mFinishedBefore = aJob.mWindow.FinishedBefore();
    aJob.mWindowPosition = mWriteQueue.Mark(JobKey(aJob.Id()));
    return;
  }
  if (aJob.mWindowPosition <= mWriteQueue.Recorded()) {
    aJob.mWindow.OnRecorded(finishedBefore);
    RemoveOccurrencesBeforeWindow(aJob);
  }
}

void
JobTable::RemoveOccurrencesBeforeWindow(Job& aJob)
{
  std::erase_if(aJob.mOccurrences, [&](const auto& aEntry) {
    const auto& [number, occurrence] = aEntry;
    if (number >= aJob.mWindow.Begin() || occurrence.HasRuns()) {
      return false;
    }
    RemoveProgress(aJob, number);
    return true;
  });
}

void
JobTable::RemoveProgress(const Job& aJob, int aOccurrence)
{
  const int parts = ProgressPartCount(aJob.mRecord.mSpec);
  for (int part = 0; part < parts; ++part) {
    mWriteQueue.Remove(ProgressPart{
      .mJob = aJob.Id(), .mOccurrence = aOccurrence, .mPart = part }
                         .Key());
  }
}

RecordPosition
JobTable::Close(Job& aJob, JobState aState, const Moment& aNow)
{
  const JobId& id = aJob.Id();
  aJob.mPhase = JobPhase::Closed;
  // The final state makes the progress record of a single occurrence redundant.
  const RecordPosition position =
    aJob.mRecord.mSpec.mRepetition.has_value()
      ? mWriteQueue.Mark(FinishedKey(id))
      : mWriteQueue.MarkInsteadOf(FinishedKey(id),
                                  ProgressPart{ .mJob = id }.Key());
  SetFinished({ .mId = id,
                .mState = aState,
                .mFinishedAt = aNow.mUnix,
                .mTeam = aJob.mRecord.mTeam },
              position);
  return position;
}

void
JobTable::SetFinished(FinishedRecord aRecord, RecordPosition aPosition)
{
  const JobId id = aRecord.mId;
  mFinishedOrder.emplace(aRecord.mFinishedAt, id);
  mFinished[id] = { .mRecord = std::move(aRecord),
                    .mRecordPosition = aPosition };
}

RecordPosition
JobTable::CancelUnsubmitted(const JobId& aId,
                            const TeamId& aTeam,
                            const Moment& aNow)
{
  const auto found = mFinished.find(aId);
  if (found != mFinished.end() && (found->second.mRecord.mSubmitted ||
                                   found->second.mRecord.mTeam == aTeam)) {
    return found->second.mRecordPosition;
  }
  const RecordPosition position = mWriteQueue.Mark(FinishedKey(aId));
  SetFinished({ .mId = aId,
                .mState = JobState::Cancelled,
                .mFinishedAt = aNow.mUnix,
                .mTeam = aTeam,
                .mSubmitted = false },
              position);
  return position;
}

std::optional<RecordPosition>
JobTable::SubmitCancelled(const JobId& aId, const TeamId& aTeam)
{
  const auto found = mFinished.find(aId);
  if (found == mFinished.end() || found->second.mRecord.mTeam != aTeam) {
    return std::nullopt;
  }
  FinishedEntry& entry = found->second;
  entry.mRecord.mSubmitted = true;
  entry.mRecordPosition = mWriteQueue.Mark(FinishedKey(aId));
  return entry.mRecordPosition;
}

void
JobTable::Prune(const Moment& aNow,
                std::chrono::milliseconds aKeepFinished,
                bool aReconciled)
{
  for (auto entry = mJobs.begin(); entry != mJobs.end();) {
    Job& job = entry->second;
    // The other records must stay in the store until the final state is there.
    const auto finished = mFinished.find(entry->first);
    const bool finalStateRecorded =
      finished != mFinished.end() &&
      finished->second.mRecordPosition <= mWriteQueue.Recorded();
    const bool mayHaveUnfoundRuns =
      !aReconciled && job.mRecovered && !job.mRecord.mTeam.Empty();
    if (job.mPhase != JobPhase::Closed || job.HasRuns() ||
        !finalStateRecorded || mayHaveUnfoundRuns) {
      ++entry;
      continue;
    }
    for (const auto& [number, occurrence] : job.mOccurrences) {
      RemoveProgress(job, number);
    }
    mWriteQueue.Remove(JobKey(job.Id()));
    mBudget.Remove(job.mFootprint);
    entry = mJobs.erase(entry);
  }
  while (!mFinishedOrder.empty() &&
         mFinishedOrder.begin()->first + aKeepFinished < aNow.mUnix) {
    const JobId id = mFinishedOrder.begin()->second;
    mFinishedOrder.erase(mFinishedOrder.begin());
    mFinished.erase(id);
    mWriteQueue.Remove(FinishedKey(id));
  }
}

const FinishedRecord*
JobTable::FindFinished(const JobId& aId) const
{
  const auto found = mFinished.find(aId);
  return found == mFinished.end() || !found->second.mRecord.mSubmitted
           ? nullptr
           : &found->second.mRecord;
}

std::optional<RecordPosition>
JobTable::FinalStatePosition(const JobId& aId) const
{
  if (FindFinished(aId) == nullptr) {
    return std::nullopt;
  }
  return mFinished.at(aId).mRecordPosition;
}

std::optional<JobRecord>
JobTable::JobRecordOf(const JobId& aId) const
{
  const auto found = mJobs.find(aId);
  if (found == mJobs.end()) {
    return std::nullopt;
  }
  return found->second.mRecord;
}

std::optional<FinishedRecord>
JobTable::FinishedRecordOf(const JobId& aId) const
{
  const auto found = mFinished.find(aId);
  if (found == mFinished.end()) {
    return std::nullopt;
  }
  return found->second.mRecord;
}

} // namespace oriolevane::jobs
