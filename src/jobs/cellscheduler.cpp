#include "jobs/cellscheduler.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"
#include "jobs/internal/cellschedulerimpl.h"
#include "jobs/internal/recordvalues.h"
#include "jobs/internal/schedulercounts.h"
#include "jobs/internal/urgency.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kPruneInterval = 250ms;
constexpr std::chrono::milliseconds kUpkeepInterval = 20ms;
// Minimum time between placement passes, so that events that arrive close
// together are handled in one pass. The cost of a pass grows with the number of
// workers, so the interval grows with it above kWorkersPerMinInterval.
constexpr std::chrono::milliseconds kMinDispatchInterval = 4ms;
constexpr std::int64_t kWorkersPerMinInterval = 350;
// Time between passes over all workers that send the polls that are due.
constexpr std::chrono::milliseconds kPollPassInterval = 4ms;
// Maximum time between placement passes, for decisions that depend on time
// alone.
constexpr std::chrono::milliseconds kMaxDispatchInterval = 50ms;

} // namespace

CellScheduler::CellScheduler(const SchedulerOptions& aOptions,
                             SchedulerHooks aHooks)
  : mImpl(std::make_unique<Impl>(aOptions, std::move(aHooks)))
{
}

CellScheduler::~CellScheduler() = default;

void
CellScheduler::Recover(const CellRecords& aRecords, const Moment& aNow)
{
  mImpl->mCell.mFleet.Recover(aRecords.mWorkers, aNow.mSteady);
  mImpl->mCell.mJobs.Recover(aRecords, aNow);
  if (mImpl->mCell.mConfigured) {
    mImpl->ApplyPolicies(aNow);
  }
  mImpl->mCrashHandler.Recover();
  mImpl->mRecoveryFinished = aRecords.mJobs.empty();
}

void
CellScheduler::OnPredecessorGone(const Moment& aNow, const RunEnds& aRunEnds)
{
  mImpl->mCell.mOwnership.EndPredecessor(aNow.mSteady);
  mImpl->mCell.mFleet.EndPredecessor(aNow.mSteady, aRunEnds);
}

RunEnds
CellScheduler::SilentWorkersRunEnds(TimePoint aNow) const
{
  return mImpl->mCell.mFleet.SilentWorkersRunEnds(aNow);
}

void
CellScheduler::Configure(CellConfiguration aConfiguration, const Moment& aNow)
{
  CellState& cell = mImpl->mCell;
  cell.mConfiguration = std::move(aConfiguration);
  cell.mConfigured = true;
  cell.mTeams.Configure(cell.mConfiguration);
  mImpl->ApplyPolicies(aNow);
  cell.mDispatchWanted = true;
}

void
CellScheduler::Impl::ApplyPolicies(const Moment& aNow)
{
  for (auto& [id, job] : mCell.mJobs.Jobs()) {
    const QueuePolicy* queue =
      mCell.mConfiguration.FindQueue(job.mRecord.mQueue.mName);
    if (queue != nullptr && *queue != job.mRecord.mQueue) {
      job.mRecord.mQueue = *queue;
      job.mTimes = ComputeJobTimes(job.mRecord);
      job.ForgetFailedAttempts();
    }
    mRunEndHandler.CloseIfEnded(job, aNow);
  }
}

const CellConfiguration&
CellScheduler::Configuration() const
{
  return mImpl->mCell.mConfiguration;
}

void
CellScheduler::ProveOwnership(TimePoint aProvenAt, TimePoint aEnd)
{
  mImpl->mCell.mOwnership.Prove(aProvenAt, aEnd);
}

void
CellScheduler::EndOwnership()
{
  mImpl->mCell.mOwnership.EndForGood();
}

bool
CellScheduler::IsRecovered() const
{
  return mImpl->mRecoveryFinished;
}

void
CellScheduler::SetQueryHosts(std::size_t aHosts)
{
  mImpl->mCell.mQueryHosts = aHosts;
}

void
CellScheduler::RegisterWorker(const WorkerEntry& aEntry, const Moment& aNow)
{
  CellState& cell = mImpl->mCell;
  const bool added = cell.mFleet.Find(aEntry.mId) == nullptr;
  const bool restarted = cell.mFleet.Register(aEntry, aNow.mSteady);
  Worker& worker = *cell.mFleet.Find(aEntry.mId);
  if (added) {
    mImpl->mCrashHandler.OnWorkerAdded(worker);
  }
  if (restarted) {
    mImpl->mCrashHandler.OnRestarted(worker);
    mImpl->mCrashHandler.ResolveLosses(worker, aNow);
    mImpl->mAdvice.RemoveWorker(&worker);
  }
}

void
CellScheduler::UnregisterWorker(const WorkerId& aId, const Moment& aNow)
{
  mImpl->mCell.mFleet.Unregister(aId, aNow.mSteady);
}

std::size_t
CellScheduler::WorkerCount() const
{
  return mImpl->mCell.mFleet.Workers().size();
}

void
CellScheduler::OnPollAnswer(const PollOrder& aPoll,
                            TimePoint aSentAt,
                            const PollAnswer& aAnswer,
                            const Moment& aNow)
{
  mImpl->mWorkerAnswerHandler.OnPollAnswer(aPoll, aSentAt, aAnswer, aNow);
}

void
CellScheduler::OnStartAnswer(const StartOrder& aOrder,
                             const OrderAnswer& aAnswer,
                             const Moment& aNow)
{
  mImpl->mWorkerAnswerHandler.OnStartAnswer(aOrder, aAnswer, aNow);
}

void
CellScheduler::OnStopAnswer(const StopOrder& aOrder,
                            const OrderAnswer& aAnswer,
                            const Moment& aNow)
{
  mImpl->mRuns.OnStopAnswer(aOrder, aAnswer, aNow.mSteady);
}

std::optional<AdviceQuery>
CellScheduler::UpdatedQuery(const AdviceQuery& aQuery, const Moment& aNow)
{
  return mImpl->mAdvice.Update(aQuery, aNow.mSteady);
}

std::size_t
CellScheduler::CheckPendingQueries(const QueryCounts& aPending,
                                   const Moment& aNow)
{
  return mImpl->mAdvice.CheckPendingQueries(aPending, aNow.mSteady);
}

void
CellScheduler::OnAdvice(const AdviceAnswer& aAnswer, const Moment& aNow)
{
  mImpl->mAdvice.OnAnswer(aAnswer, aNow.mSteady);
  mImpl->mCell.mDispatchWanted = true;
}

RecordWriteQueue&
CellScheduler::Records()
{
  return mImpl->mCell.mWriteQueue;
}

RecordValue
CellScheduler::ValueOf(const RecordKey& aKey) const
{
  return CurrentValue(mImpl->mCell, aKey);
}

void
CellScheduler::OnRecorded(RecordPosition aPosition, const Moment& aNow)
{
  mImpl->mCell.mFleet.OnRecorded(aPosition);
  mImpl->OpenRecordedJobs(aNow);
  mImpl->mCell.mDispatchWanted = true;
}

void
CellScheduler::Impl::OpenRecordedJobs(const Moment& aNow)
{
  const RecordPosition recorded = mCell.mWriteQueue.Recorded();
  while (!mJobsToOpen.empty() && mJobsToOpen.front().first <= recorded) {
    Job* job = mCell.mJobs.Find(mJobsToOpen.front().second);
    mJobsToOpen.pop_front();
    // The entry may belong to a withdrawn submission whose id has been
    // submitted again.
    if (job == nullptr || job->mPhase != JobPhase::Recording ||
        job->mRecordPosition > recorded) {
      continue;
    }
    job->mPhase = JobPhase::Open;
    mCell.mJobs.OpenDueOccurrences(*job, aNow);
  }
}

void
CellScheduler::Impl::FinishRecovery(const Moment& aNow)
{
  if (mRecoveryFinished || !mCell.mFleet.IsReconciled()) {
    return;
  }
  mRecoveryFinished = true;
  mCell.mTeams.ClearPresumed();
  std::size_t open = 0;
  for (auto& [id, job] : mCell.mJobs.Jobs()) {
    open += job.mPhase == JobPhase::Open ? 1 : 0;
    mRuns.StopIncompleteGangs(job, aNow.mSteady);
  }
  LogInfo("recovery_finished").With("open_jobs", open);
  mCell.mDispatchWanted = true;
}

Duration
CellScheduler::Impl::MinDispatchInterval() const
{
  const auto workers = static_cast<std::int64_t>(mCell.mFleet.Workers().size());
  return std::max<Duration>(kMinDispatchInterval,
                            Duration(kMinDispatchInterval) * workers /
                              kWorkersPerMinInterval);
}

void
CellScheduler::Advance(const Moment& aNow)
{
  CellState& cell = mImpl->mCell;
  cell.mWorkerFailures.Observe(aNow.mSteady);
  if (aNow.mSteady >= mImpl->mNextUpkeep) {
    mImpl->mNextUpkeep = aNow.mSteady + kUpkeepInterval;
    mImpl->mWorkerAnswerHandler.ConcludeLosses(aNow);
    mImpl->mEvictor.Evict(aNow.mSteady);
    mImpl->mRuns.ResendStops(aNow.mSteady);
  }
  mImpl->FinishRecovery(aNow);
  if (aNow.mSteady >= mImpl->mNextPrune) {
    mImpl->mNextPrune = aNow.mSteady + kPruneInterval;
    for (auto& [id, job] : cell.mJobs.Jobs()) {
      if (job.mPhase == JobPhase::Open) {
        cell.mJobs.RecordFinishedOccurrences(job);
        cell.mJobs.OpenDueOccurrences(job, aNow);
      }
    }
    cell.mJobs.Prune(
      aNow, cell.mOptions.mFinishedRetention, mImpl->mRecoveryFinished);
    cell.mFleet.Prune(aNow.mSteady, [this, &aNow](Worker& aWorker) {
      mImpl->mCrashHandler.OnWorkerGone(aWorker, aNow);
      mImpl->mAdvice.RemoveWorker(&aWorker);
    });
  }
  const TimePoint due = cell.mDispatchWanted
                          ? mImpl->mLastDispatch + mImpl->MinDispatchInterval()
                          : mImpl->mLastDispatch + kMaxDispatchInterval;
  if (cell.mConfigured && aNow.mSteady >= due) {
    cell.mDispatchWanted = false;
    mImpl->mLastDispatch = aNow.mSteady;
    if (!mImpl->mRecoveryFinished) {
      cell.mTeams.UpdatePresumed(cell.mJobs, cell.mFleet);
    }
    mImpl->mDispatcher.Dispatch(aNow, mImpl->mRecoveryFinished);
  }
  if (aNow.mSteady >= mImpl->mNextPollPass) {
    mImpl->mNextPollPass = aNow.mSteady + kPollPassInterval;
    cell.mFleet.SendDuePolls(aNow.mSteady, cell.mHooks.mPoll);
  }
}

SchedulerCounts
CellScheduler::Counts() const
{
  SchedulerCounts counts = CountsOf(mImpl->mCell);
  counts.mLongestAdviceWait = mImpl->mAdvice.LongestWait();
  counts.mLongRunningWaits = mImpl->mDispatcher.Waits();
  counts.mWorkerTrials = mImpl->mDispatcher.Trials();
  counts.mEntryWaits = mImpl->mDispatcher.WorkerEntryWaits();
  counts.mIsolationWaits = mImpl->mCell.mIsolatedStarts.Waits();
  return counts;
}

} // namespace oriolevane::jobs
