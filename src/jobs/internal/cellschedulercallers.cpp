// The part of a scheduler that serves callers: submissions, cancellations and
// queries.
#include <algorithm>
#include <utility>

#include "framework/log.h"
#include "jobs/internal/cellschedulerimpl.h"

namespace oriolevane::jobs {

std::optional<Refusal>
CellScheduler::RefusalFor(const Submission& aSubmission, const Moment& aNow)
{
  if (Find(aSubmission.mId).has_value()) {
    return std::nullopt;
  }
  return mImpl->mCell.mTeams.RefusalFor(
    aSubmission.mId, aSubmission.mTeam, aSubmission.mSpec, aNow.mSteady);
}

bool
CellScheduler::HasRoomFor(const Submission& aSubmission) const
{
  return Find(aSubmission.mId).has_value() ||
         mImpl->mCell.mJobs.HasRoomFor(aSubmission.mSpec);
}

RecordPosition
CellScheduler::Submit(Submission aSubmission, const Moment& aNow)
{
  CellState& cell = mImpl->mCell;
  const JobId id = aSubmission.mId;
  if (const Job* job = cell.mJobs.Find(id); job != nullptr) {
    return job->mRecordPosition;
  }
  if (const auto finished = cell.mJobs.FinalStatePosition(id);
      finished.has_value()) {
    return *finished;
  }
  if (const auto cancelled = cell.mJobs.SubmitCancelled(id, aSubmission.mTeam);
      cancelled.has_value()) {
    LogInfo("cancelled_job_submitted").With("job", id);
    return *cancelled;
  }
  const bool borrows = cell.mTeams.MeterSubmission(
    aSubmission.mTeam, aSubmission.mSpec, aNow.mSteady);
  Job& job = cell.mJobs.Add({ .mId = id,
                              .mQueue = std::move(aSubmission.mQueue),
                              .mSpec = std::move(aSubmission.mSpec),
                              .mAcceptedAt = aNow.mUnix,
                              .mTeam = std::move(aSubmission.mTeam),
                              .mBorrows = borrows },
                            aNow);
  mImpl->mJobsToOpen.emplace_back(job.mRecordPosition, id);
  LogDebug("job_submitted")
    .With("job", id)
    .With("queue", job.mRecord.mQueue.mName)
    .With("team", job.mRecord.mTeam)
    .With("version", cell.mConfiguration.mVersion);
  return job.mRecordPosition;
}

bool
CellScheduler::Withdraw(const JobId& aId)
{
  CellState& cell = mImpl->mCell;
  const Job* job = cell.mJobs.Find(aId);
  if (job == nullptr || job->mPhase != JobPhase::Recording ||
      !cell.mWriteQueue.Withdraw(
        { .mKind = RecordKind::Job, .mName = aId.mValue })) {
    return false;
  }
  cell.mJobs.RemoveUnrecorded(aId);
  return true;
}

std::optional<RecordPosition>
CellScheduler::Cancel(const JobId& aId, const Moment& aNow)
{
  CellState& cell = mImpl->mCell;
  if (const auto finished = cell.mJobs.FinalStatePosition(aId);
      finished.has_value()) {
    return finished;
  }
  Job* job = cell.mJobs.Find(aId);
  if (job == nullptr) {
    return std::nullopt;
  }
  return mImpl->mRunEndHandler.CloseJob(*job, CloseReason::Cancelled, aNow);
}

RecordPosition
CellScheduler::CancelUnsubmitted(const JobId& aId,
                                 const TeamId& aTeam,
                                 const Moment& aNow)
{
  return mImpl->mCell.mJobs.CancelUnsubmitted(aId, aTeam, aNow);
}

std::optional<JobView>
CellScheduler::Find(const JobId& aId) const
{
  CellState& cell = mImpl->mCell;
  const RecordPosition recorded = cell.mWriteQueue.Recorded();
  const auto finalStatePosition = cell.mJobs.FinalStatePosition(aId);
  if (finalStatePosition.has_value() && *finalStatePosition <= recorded) {
    const FinishedRecord& finished = *cell.mJobs.FindFinished(aId);
    return JobView{ .mState = finished.mState,
                    .mRecorded = true,
                    .mTeam = finished.mTeam };
  }
  const Job* job = cell.mJobs.Find(aId);
  if (job == nullptr) {
    if (finalStatePosition.has_value()) {
      return JobView{ .mState = JobState::Running,
                      .mRecorded = true,
                      .mTeam = cell.mJobs.FindFinished(aId)->mTeam };
    }
    return std::nullopt;
  }
  return JobView{ .mState =
                    job->mStarted ? JobState::Running : JobState::Queued,
                  .mRecorded = job->mRecordPosition <= recorded,
                  .mTeam = job->mRecord.mTeam };
}

std::size_t
CellScheduler::Waiting(const QueueName& aQueue) const
{
  const auto& jobs = mImpl->mCell.mJobs.Jobs();
  return std::count_if(jobs.begin(), jobs.end(), [&](const auto& aEntry) {
    const Job& job = aEntry.second;
    return job.mPhase == JobPhase::Open && !job.mStarted &&
           job.mRecord.mQueue.mName == aQueue;
  });
}

} // namespace oriolevane::jobs
