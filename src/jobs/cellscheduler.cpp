#include "jobs/cellscheduler.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"
#include "jobs/internal/adviceplanner.h"
#include "jobs/internal/cellstate.h"
#include "jobs/internal/dispatcher.h"
#include "jobs/internal/outcomes.h"
#include "jobs/internal/reports.h"
#include "jobs/internal/runbook.h"
#include "jobs/internal/urgency.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// A worker's clock may be this much slow, which lengthens its leases.
constexpr double kClockTolerance = 1.0204;
constexpr std::chrono::milliseconds kUnknownMargin = 300ms;
constexpr std::chrono::milliseconds kPruneEvery = 250ms;
constexpr std::chrono::milliseconds kUpkeepEvery = 20ms;
// Events that come close together are decided on at once.
constexpr std::chrono::milliseconds kDispatchPause = 4ms;
// Decisions that depend on time alone are looked at this often.
constexpr std::chrono::milliseconds kDispatchEvery = 50ms;

} // namespace

class CellScheduler::Impl
{
public:
  Impl(const SchedulerOptions& aOptions, SchedulerHooks aHooks)
    : mCell(aOptions, std::move(aHooks))
    , mRuns(mCell)
    , mOutcomes(mCell, mRuns)
    , mAdvice(mCell)
    , mReports(mCell, mRuns, mOutcomes, mAdvice)
    , mDispatcher(mCell, mRuns, mAdvice)
  {
  }

  void Resolve(const Moment& aNow);
  void OpenRecordedJobs(const Moment& aNow);

  CellState mCell;
  RunBook mRuns;
  Outcomes mOutcomes;
  AdvicePlanner mAdvice;
  Reports mReports;
  Dispatcher mDispatcher;
  // Jobs that wait to be recorded, oldest first.
  std::deque<std::pair<RecordPosition, JobId>> mToOpen;
  bool mResolved = true;
  TimePoint mNextPrune;
  TimePoint mNextUpkeep;
  TimePoint mLastDispatch;
};

CellScheduler::CellScheduler(const SchedulerOptions& aOptions,
                             SchedulerHooks aHooks)
  : mImpl(std::make_unique<Impl>(aOptions, std::move(aHooks)))
{
}

CellScheduler::~CellScheduler() = default;

void
CellScheduler::Recover(const CellRecords& aRecords, const Moment& aNow)
{
  const SchedulerOptions& options = mImpl->mCell.mOptions;
  const auto unknownFor = std::chrono::duration_cast<Duration>(
    options.mAuthority * kClockTolerance + Duration(kUnknownMargin));
  mImpl->mCell.mFleet.Recover(aRecords.mWorkers, aNow.mSteady + unknownFor);
  mImpl->mCell.mJobs.Recover(aRecords, aNow);
  for (auto& [id, job] : mImpl->mCell.mJobs.Jobs()) {
    mImpl->mOutcomes.Settle(job, aNow);
  }
  mImpl->mResolved = aRecords.mJobs.empty();
}

void
CellScheduler::OnPredecessorGone(const Moment& aNow)
{
  mImpl->mCell.mFleet.ShortenUnknown(
    aNow.mSteady + std::chrono::duration_cast<Duration>(
                     mImpl->mCell.mOptions.mLease * kClockTolerance +
                     Duration(kUnknownMargin)));
}

void
CellScheduler::Configure(CellConfiguration aConfiguration)
{
  CellState& cell = mImpl->mCell;
  cell.mConfiguration = std::move(aConfiguration);
  for (auto& [id, job] : cell.mJobs.Jobs()) {
    const QueuePolicy* queue =
      cell.mConfiguration.FindQueue(job.mRecord.mQueue.mName);
    if (queue != nullptr && *queue != job.mRecord.mQueue) {
      job.mRecord.mQueue = *queue;
      job.mTimes = TimesOf(job.mRecord);
    }
  }
  cell.mDispatchWanted = true;
}

const CellConfiguration&
CellScheduler::Configuration() const
{
  return mImpl->mCell.mConfiguration;
}

void
CellScheduler::SetAuthority(TimePoint aUntil)
{
  mImpl->mCell.mFleet.SetAuthority(aUntil);
}

RecordPosition
CellScheduler::Submit(const JobId& aId,
                      const QueuePolicy& aQueue,
                      JobSpec aSpec,
                      const Moment& aNow)
{
  CellState& cell = mImpl->mCell;
  if (const Job* job = cell.mJobs.Find(aId); job != nullptr) {
    return job->mRecordedBy;
  }
  if (const auto finished = cell.mJobs.FinishedBy(aId); finished.has_value()) {
    return *finished;
  }
  Job& job = cell.mJobs.Add({ .mId = aId,
                              .mQueue = aQueue,
                              .mSpec = std::move(aSpec),
                              .mAcceptedAt = aNow.mUnix },
                            aNow);
  mImpl->mToOpen.emplace_back(job.mRecordedBy, aId);
  LogDebug("job_submitted")
    .With("job", aId)
    .With("queue", aQueue.mName)
    .With("version", cell.mConfiguration.mVersion);
  return job.mRecordedBy;
}

bool
CellScheduler::Withdraw(const JobId& aId)
{
  CellState& cell = mImpl->mCell;
  const Job* job = cell.mJobs.Find(aId);
  if (job == nullptr || job->mPhase != JobPhase::Recording ||
      !cell.mLog.Withdraw({ .mKind = RecordKind::Job, .mName = aId.mValue })) {
    return false;
  }
  cell.mJobs.Jobs().erase(aId);
  return true;
}

std::optional<RecordPosition>
CellScheduler::Cancel(const JobId& aId, const Moment& aNow)
{
  CellState& cell = mImpl->mCell;
  if (const auto finished = cell.mJobs.FinishedBy(aId); finished.has_value()) {
    return finished;
  }
  Job* job = cell.mJobs.Find(aId);
  if (job == nullptr) {
    return std::nullopt;
  }
  return mImpl->mOutcomes.CloseJob(*job, JobState::Cancelled, aNow);
}

std::optional<JobView>
CellScheduler::Find(const JobId& aId) const
{
  CellState& cell = mImpl->mCell;
  const RecordPosition recorded = cell.mLog.Recorded();
  const auto finishedBy = cell.mJobs.FinishedBy(aId);
  if (finishedBy.has_value() && *finishedBy <= recorded) {
    return JobView{ .mState = cell.mJobs.FindFinished(aId)->mState,
                    .mRecorded = true };
  }
  const Job* job = cell.mJobs.Find(aId);
  if (job == nullptr) {
    if (finishedBy.has_value()) {
      return JobView{ .mState = JobState::Running, .mRecorded = true };
    }
    return std::nullopt;
  }
  return JobView{ .mState =
                    job->mStarted ? JobState::Running : JobState::Queued,
                  .mRecorded = job->mRecordedBy <= recorded };
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

void
CellScheduler::ListWorker(const WorkerEntry& aEntry, const Moment& aNow)
{
  CellState& cell = mImpl->mCell;
  if (cell.mFleet.List(aEntry, aNow.mSteady)) {
    Worker& worker = *cell.mFleet.Find(aEntry.mId);
    RunBook::DoubtAll(worker);
    mImpl->mAdvice.Forget(&worker);
  }
}

void
CellScheduler::UnlistWorker(const WorkerId& aId, const Moment& aNow)
{
  mImpl->mCell.mFleet.Unlist(aId, aNow.mSteady);
}

std::vector<WorkerId>
CellScheduler::ListedWorkers() const
{
  std::vector<WorkerId> listed;
  for (const auto& [id, worker] : mImpl->mCell.mFleet.Workers()) {
    if (worker.mListed) {
      listed.push_back(id);
    }
  }
  return listed;
}

void
CellScheduler::OnPollAnswer(const PollOrder& aPoll,
                            TimePoint aSentAt,
                            const PollAnswer& aAnswer,
                            const Moment& aNow)
{
  mImpl->mReports.OnPollAnswer(aPoll, aSentAt, aAnswer, aNow);
}

void
CellScheduler::OnStartAnswer(const StartOrder& aOrder,
                             const OrderAnswer& aAnswer,
                             const Moment& aNow)
{
  mImpl->mReports.OnStartAnswer(aOrder, aAnswer, aNow);
}

void
CellScheduler::OnStopAnswer(const StopOrder& aOrder,
                            const OrderAnswer& aAnswer,
                            const Moment& aNow)
{
  mImpl->mRuns.OnStopAnswer(aOrder, aAnswer, aNow.mSteady);
}

void
CellScheduler::OnAdvice(const AdviceAnswer& aAnswer, const Moment& aNow)
{
  mImpl->mAdvice.OnAnswer(aAnswer, aNow.mSteady);
  mImpl->mCell.mDispatchWanted = true;
}

RecordLog&
CellScheduler::Records()
{
  return mImpl->mCell.mLog;
}

RecordValue
CellScheduler::ValueOf(const RecordKey& aKey) const
{
  const auto valueOrNothing = [](const auto& aValue) {
    return aValue.has_value() ? RecordValue(*aValue) : RecordValue();
  };
  const CellState& cell = mImpl->mCell;
  switch (aKey.mKind) {
    case RecordKind::Job:
      return valueOrNothing(cell.mJobs.JobRecordOf(JobId(aKey.mName)));
    case RecordKind::Progress:
      return valueOrNothing(cell.mJobs.ProgressRecordOf(aKey.mName));
    case RecordKind::Finished:
      return valueOrNothing(cell.mJobs.FinishedRecordOf(JobId(aKey.mName)));
    case RecordKind::Worker:
      return valueOrNothing(cell.mFleet.RecordOf(WorkerId(aKey.mName)));
  }
  return {};
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
  const RecordPosition recorded = mCell.mLog.Recorded();
  while (!mToOpen.empty() && mToOpen.front().first <= recorded) {
    Job* job = mCell.mJobs.Find(mToOpen.front().second);
    mToOpen.pop_front();
    // An entry of a submission that was withdrawn says nothing of a later one.
    if (job == nullptr || job->mPhase != JobPhase::Recording ||
        job->mRecordedBy > recorded) {
      continue;
    }
    job->mPhase = JobPhase::Open;
    mCell.mJobs.OpenDueOccurrences(*job, aNow);
  }
}

// Once all runs of the earlier owner are known, gangs of which members are
// missing are stopped.
void
CellScheduler::Impl::Resolve(const Moment& aNow)
{
  if (mResolved || !mCell.mFleet.IsResolved(aNow.mSteady)) {
    return;
  }
  mResolved = true;
  std::size_t open = 0;
  for (auto& [id, job] : mCell.mJobs.Jobs()) {
    open += job.mPhase == JobPhase::Open ? 1 : 0;
    for (auto& [number, occurrence] : job.mOccurrences) {
      for (std::size_t place = 0; place < occurrence.mSteps.size(); ++place) {
        Step& step = occurrence.mSteps[place];
        const bool complete =
          std::none_of(step.mTasks.begin(),
                       step.mTasks.end(),
                       [](const Task& aTask) { return aTask.IsWaiting(); });
        if (job.mRecord.mSpec.mSteps[place].mGang && !complete) {
          mRuns.StopStep(step, aNow.mSteady);
        }
      }
    }
  }
  LogInfo("recovery_resolved").With("open_jobs", open);
  mCell.mDispatchWanted = true;
}

void
CellScheduler::Advance(const Moment& aNow)
{
  CellState& cell = mImpl->mCell;
  if (aNow.mSteady >= mImpl->mNextUpkeep) {
    mImpl->mNextUpkeep = aNow.mSteady + kUpkeepEvery;
    mImpl->mReports.ExpireLeases(aNow);
    mImpl->mRuns.RepeatStops(aNow.mSteady);
  }
  mImpl->Resolve(aNow);
  if (aNow.mSteady >= mImpl->mNextPrune) {
    mImpl->mNextPrune = aNow.mSteady + kPruneEvery;
    for (auto& [id, job] : cell.mJobs.Jobs()) {
      cell.mJobs.OpenDueOccurrences(job, aNow);
    }
    cell.mJobs.Prune(aNow, cell.mOptions.mKeepFinished);
    cell.mFleet.Prune(aNow.mSteady, [this](const Worker* aWorker) {
      mImpl->mAdvice.Forget(aWorker);
    });
  }
  const TimePoint due = cell.mDispatchWanted
                          ? mImpl->mLastDispatch + kDispatchPause
                          : mImpl->mLastDispatch + kDispatchEvery;
  if (aNow.mSteady >= due) {
    cell.mDispatchWanted = false;
    mImpl->mLastDispatch = aNow.mSteady;
    mImpl->mDispatcher.Dispatch(aNow, mImpl->mResolved);
  }
  cell.mFleet.PollDue(aNow.mSteady, cell.mHooks.mPoll);
}

SchedulerCounts
CellScheduler::Counts() const
{
  const CellState& cell = mImpl->mCell;
  SchedulerCounts counts;
  counts.mOpenJobs = cell.mJobs.Jobs().size();
  for (const auto& [id, worker] : cell.mFleet.Workers()) {
    counts.mRuns += worker.mRuns.size();
    counts.mWorkers += worker.mListed ? 1 : 0;
    counts.mReachableWorkers += worker.mReachable ? 1 : 0;
  }
  return counts;
}

} // namespace oriolevane::jobs
