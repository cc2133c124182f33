#include "cellnode/internal/ownersession.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"
#include "framework/steadynow.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// The interval of Tick() when nothing is pending.
constexpr std::chrono::milliseconds kTickInterval = 20ms;
// The delay before Tick() after an event, so that simultaneous events are
// handled together.
constexpr std::chrono::milliseconds kSoonTickDelay = 1ms;
// The pause between feed calls for the worker registry, which collects changes.
constexpr std::chrono::milliseconds kRegistryBatchDelay = 250ms;
// How long the store may hold a feed call for the worker registry. It is short
// because a lost answer delays the news that a worker is draining by this time.
constexpr std::chrono::milliseconds kRegistryFeedWait = 1000ms;
// The interval at which lost queries to the policy service are looked for.
constexpr std::chrono::milliseconds kQueryCheckInterval = 500ms;
// A pass of the scheduler that takes longer than this is logged.
constexpr std::chrono::milliseconds kSlowPass = 100ms;

jobs::SchedulerOptions
WithEpoch(jobs::SchedulerOptions aOptions, Epoch aEpoch)
{
  aOptions.mEpoch = aEpoch;
  return aOptions;
}

} // namespace

OwnerSession::OwnerSession(eventloop::EventLoop& aLoop,
                           const NodeOptions& aOptions,
                           const RowStoreHooks& aStore,
                           const UpstreamHooks& aUpstreams,
                           const ExternalFormats& aFormats,
                           OwnerRow aOwner,
                           RowVersion aOwnerVersion,
                           TimePoint aOwnedSince,
                           OwnerSessionHooks aHooks)
  : mLoop(aLoop)
  , mOptions(aOptions)
  , mOwner(std::move(aOwner))
  , mHooks(std::move(aHooks))
  , mRelayedCalls(mOwner.mEpoch,
                  { .mOwnerFitness = aOptions.mFitness },
                  MakeRelayedCallsHooks(aUpstreams))
  , mUpstreams(mRelayedCalls.MakeHooks())
  , mWorkerCalls(mUpstreams)
  , mFormats(aFormats)
  , mScheduler(WithEpoch(aOptions.mScheduler, mOwner.mEpoch),
               MakeSchedulerHooks())
  , mAdviceDispatcher(mOwner.mEpoch, MakeAdviceDispatcherHooks())
  , mJournal(
      { .mCompressRecords = aOptions.mCompress },
      mOwner,
      aOwnerVersion,
      mScheduler.Records(),
      { .mCommit = aStore.mCommit,
        .mValueOf =
          [this](const jobs::RecordKey& aKey) {
            return mScheduler.ValueOf(aKey);
          },
        .mOnRecorded =
          [this](jobs::RecordPosition aPosition) { OnRecorded(aPosition); },
        .mOnOwnershipLost =
          [this] {
            if (!mHalted) {
              mHooks.mOnOwnershipLost();
            }
          },
        .mNow = [] { return SteadyNow(); },
        .mRunsEndIn = [this] { return RunsEndIn(); },
        .mOnCommitted =
          [this](Duration aTime) {
            mHooks.mOnStageTime(Stage::Record, aTime);
          } })
  , mRequestHandler(
      aFormats,
      mScheduler,
      mJournal,
      { .mNow = [] { return Now(); },
        .mAuthorize =
          [this](const CallerRequest& aRequest,
                 const AuthorizationTarget& aTarget) {
            return mHooks.mAuthorize(aRequest, aTarget);
          },
        .mAdviceWait = [this] { return mAdviceDispatcher.ExpectedWait(); },
        .mOnWork = [this] { ScheduleTick(); } })
  , mWorkerWatch(aLoop,
                 aStore,
                 { .mTable = aFormats.mWorkerTable,
                   .mPart = "",
                   .mWait = kRegistryFeedWait,
                   .mPauseBetweenCalls = kRegistryBatchDelay },
                 { .mOnRow = [this](const Row& aRow) { OnWorkerRow(aRow); },
                   .mOnRemoved =
                     [this](const std::string& aName) {
                       mScheduler.UnregisterWorker(WorkerId(aName), Now());
                       ScheduleTick();
                     },
                   .mOnSynchronized = {} })
  , mOwnedSince(aOwnedSince)
{
  mTimer = mLoop.MakeTimer([this] { Tick(); });
  mJournal.SetRenewedAt(aOwnedSince);
  mAdviceDispatcher.AddNode(mOptions.mNode);
  mLoader = std::make_unique<CellLoader>(
    mLoop, aStore, kShardPart, [this](const jobs::CellRecords& aRecords) {
      OnLoaded(aRecords);
    });
  ScheduleTick();
}

OwnerSession::~OwnerSession()
{
  *mAlive = false;
}

jobs::Moment
OwnerSession::Now()
{
  return { .mSteady = SteadyNow(),
           .mUnix = std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch()) };
}

Duration
OwnerSession::StoreAge(TimePoint aNow) const
{
  return aNow - mJournal.RenewedAt();
}

void
OwnerSession::OnLoaded(const jobs::CellRecords& aRecords)
{
  if (mHalted) {
    return;
  }
  LogInfo("shard_loaded")
    .With("epoch", mOwner.mEpoch)
    .With("jobs", aRecords.mJobs.size())
    .With("progress", aRecords.mProgress.size())
    .With("finished", aRecords.mFinished.size())
    .With("workers", aRecords.mWorkers.size());
  mScheduler.Recover(aRecords, Now());
  if (mPredecessorGone) {
    mScheduler.OnPredecessorGone(Now(), RecoveredRunEnds());
  }
  mLoaded = true;
  mWorkerWatch.Start();
  StartServing();
  ScheduleTick();
}

void
OwnerSession::OnPredecessorGone()
{
  if (mPredecessorGone) {
    return;
  }
  mPredecessorGone = true;
  mJournal.SetEarlierOwnersGone();
  if (mLoaded) {
    mScheduler.OnPredecessorGone(Now(), {});
  }
}

jobs::RunEnds
OwnerSession::RecoveredRunEnds() const
{
  // The shard was released before it was claimed.
  jobs::RunEnds ends;
  for (const auto& [worker, time] : mRunsEndIn) {
    ends[worker] = mOwnedSince + time;
  }
  return ends;
}

std::map<WorkerId, std::chrono::milliseconds>
OwnerSession::RunsEndIn() const
{
  if (!mLoaded) {
    // This session has sent nothing, so that it knows as much as its
    // predecessor.
    return mRunsEndIn;
  }
  const TimePoint now = SteadyNow();
  std::map<WorkerId, std::chrono::milliseconds> runsEndIn;
  for (const auto& [worker, end] : mScheduler.SilentWorkersRunEnds(now)) {
    runsEndIn[worker] = std::chrono::ceil<std::chrono::milliseconds>(end - now);
  }
  return runsEndIn;
}

void
OwnerSession::Configure(const jobs::CellConfiguration& aConfiguration)
{
  mScheduler.Configure(aConfiguration, Now());
  mConfigured = true;
  StartServing();
  ScheduleTick();
}

void
OwnerSession::StartServing()
{
  if (mServing || !mLoaded || !mConfigured) {
    return;
  }
  mServing = true;
  mHooks.mOnServing();
  for (auto& [request, reply] : std::exchange(mEarlyRequests, {})) {
    Serve(request, std::move(reply));
  }
}

void
OwnerSession::OnWorkerRow(const Row& aRow)
{
  const absl::StatusOr<jobs::WorkerEntry> entry =
    mFormats.mDecodeWorker(WorkerId(aRow.mKey.mName), aRow.mValue);
  if (!entry.ok()) {
    LogWarning("worker_entry_refused")
      .With("worker", aRow.mKey.mName)
      .With("status", entry.status().ToString());
    return;
  }
  mScheduler.RegisterWorker(*entry, Now());
  ScheduleTick();
}

void
OwnerSession::Serve(const CallerRequest& aRequest, AnswerCallback aReply)
{
  if (!mServing) {
    mEarlyRequests.emplace_back(aRequest, std::move(aReply));
    return;
  }
  mRequestHandler.Serve(aRequest, aReply);
}

void
OwnerSession::OnRecorded(jobs::RecordPosition aPosition)
{
  if (mHalted) {
    return;
  }
  mScheduler.OnRecorded(aPosition, Now());
  mRequestHandler.OnRecorded(aPosition);
  if (mJournal.IsReleased()) {
    mHooks.mOnReleased();
    return;
  }
  ScheduleTick();
}

void
OwnerSession::OnAdvice(QueryId aId, jobs::AdviceAnswer aAnswer)
{
  if (!mAdviceDispatcher.HasSent(aId)) {
    mHooks.mOnStaleAnswer(PeerRequest::Advice, aId.mValue);
    return;
  }
  std::optional<jobs::AdviceQuery> query = mAdviceDispatcher.OnAnswer(aId);
  if (!query.has_value()) {
    return;
  }
  if (aAnswer.mStep != query->mStep) {
    LogWarning("advice_answer_of_another_step")
      .With("step", query->mStep.ToText())
      .With("answer_step", aAnswer.mStep.ToText());
    aAnswer = { .mStep = query->mStep };
  }
  aAnswer.mAsked = std::move(query->mWorkers);
  mScheduler.OnAdvice(aAnswer, Now());
  ScheduleTick();
}

void
OwnerSession::OnWorkerAnswers(const cellwire::WorkerAnswerBatchT& aAnswers)
{
  mRelayedCalls.OnAnswers(aAnswers);
}

void
OwnerSession::AddNode(const RelayNode& aNode, bool aRelays)
{
  if (aRelays) {
    mRelayedCalls.AddNode(aNode);
  } else {
    mRelayedCalls.RetireNode(aNode.mNode);
  }
  mAdviceDispatcher.AddNode(aNode.mNode);
  mScheduler.SetQueryHosts(mAdviceDispatcher.NodeCount());
}

void
OwnerSession::RemoveNode(const NodeId& aNode)
{
  mRelayedCalls.RemoveNode(aNode);
  mAdviceDispatcher.RemoveNode(aNode);
  mScheduler.SetQueryHosts(mAdviceDispatcher.NodeCount());
}

void
OwnerSession::Release()
{
  mReleasing = true;
  mScheduler.EndOwnership();
  mRequestHandler.RefuseNewJobs();
  mJournal.Release();
  ScheduleTick();
}

void
OwnerSession::Halt()
{
  mHalted = true;
  mScheduler.EndOwnership();
  // The answers of workers, and the calls that wait for a relay.
  *mAlive = false;
  mTimer->Cancel();
}

void
OwnerSession::ScheduleTick()
{
  if (mHalted) {
    return;
  }
  mTimer->StartWithin(kSoonTickDelay);
}

void
OwnerSession::CheckPendingQueries(const jobs::Moment& aNow)
{
  if (aNow.mSteady < mNextQueryCheck) {
    return;
  }
  mNextQueryCheck = aNow.mSteady + kQueryCheckInterval;
  const std::size_t lost =
    mScheduler.CheckPendingQueries(mAdviceDispatcher.PendingQueries(), aNow);
  if (lost > 0) {
    mHooks.mOnQueriesLost(lost);
  }
}

// A slow pass delays heartbeats and renewals, which other nodes may take for a
// failure of this one.
void
OwnerSession::LogSlowPass(TimePoint aStartedAt) const
{
  const Duration taken = SteadyNow() - aStartedAt;
  if (taken < kSlowPass) {
    return;
  }
  LogInfo("scheduler_pass_slow")
    .With("epoch", mOwner.mEpoch)
    .With("pass_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(taken).count())
    .With("open_jobs", mScheduler.Counts().mOpenJobs);
}

void
OwnerSession::Tick()
{
  if (mHalted) {
    return;
  }
  const jobs::Moment now = Now();
  mRelayedCalls.SetWorkerCount(mScheduler.WorkerCount());
  mRelayedCalls.Expire(now.mSteady);
  mAdviceDispatcher.Expire();
  mAdviceDispatcher.ReportBacklog();
  CheckPendingQueries(now);
  if (mLoaded && !mReleasing) {
    mScheduler.ProveOwnership(mJournal.RenewedAt(),
                              mJournal.RenewedAt() +
                                mOptions.mScheduler.mOwnershipLease);
    mJournal.SetRecovered(mScheduler.IsRecovered());
    mScheduler.Advance(now);
  }
  LogSlowPass(now.mSteady);
  mRequestHandler.RefuseIfStoreUnavailable(now.mSteady);
  const bool waiting = mScheduler.Records().HasWaiting() || mReleasing;
  mJournal.Tick(now.mSteady);
  if (!mHalted) {
    mTimer->StartWithin(waiting ? kSoonTickDelay * 4 : kTickInterval);
  }
}

} // namespace oriolevane::cellnode
