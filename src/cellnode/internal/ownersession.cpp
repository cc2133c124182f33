#include "cellnode/internal/ownersession.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cellnode/queuerouter.h"
#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// The interval of Tick() when nothing is pending.
constexpr std::chrono::milliseconds kTickInterval = 20ms;
// The delay before Tick() after an event, so that simultaneous events are
// handled together.
constexpr std::chrono::milliseconds kSoonTickDelay = 1ms;
// New work is refused when a transaction has had no answer for this time. While
// the store is slow, the limit is a multiple of the expected round trip, up to
// a maximum.
constexpr std::chrono::milliseconds kStoreUnavailableAfter = 700ms;
constexpr std::chrono::milliseconds kMaxStoreUnavailableAfter = 2500ms;
constexpr int kStoreUnavailableRoundTrips = 2;
// Callers wait for 3 s. A submission that is expected to take longer than this
// to store is refused, so that the caller retries later.
constexpr std::chrono::milliseconds kMaxRecordingWait = 2400ms;
constexpr std::chrono::milliseconds kRetryAfterStoreUnavailable = 1000ms;
// Sent with the refusal of a request that names a newer configuration than this
// node has read.
constexpr std::chrono::milliseconds kRetryAfterStaleConfiguration = 300ms;
// The pause between feed calls for the worker registry, which collects changes.
constexpr std::chrono::milliseconds kRegistryBatchDelay = 250ms;

const CallerAnswer kStoreUnavailableAnswer{ .mKind = CallerAnswerKind::Refused,
                                            .mRetryAfter =
                                              kRetryAfterStoreUnavailable,
                                            .mMessage =
                                              "the store does not answer" };

jobs::SchedulerOptions
WithEpoch(jobs::SchedulerOptions aOptions, Epoch aEpoch)
{
  aOptions.mEpoch = aEpoch;
  return aOptions;
}

std::string
LastSegment(const std::string& aPath)
{
  return aPath.substr(aPath.rfind('/') + 1);
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
  , mAdviceDispatcher({ .mSend =
                          [this](const NodeId& aNode,
                                 QueryId aId,
                                 const jobs::AdviceQuery& aQuery) {
                            mHooks.mSendAdviceQuery(aNode, aId, aQuery);
                          } })
  , mJournal(
      {},
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
        .mOnOwnershipLost = [this] { mHooks.mOnOwnershipLost(); },
        .mNow = [] { return std::chrono::steady_clock::now(); },
        .mOnCommitted =
          [this](Duration aTime) {
            mHooks.mOnStageTime(Stage::Record, aTime);
          } })
  , mWorkerWatch(aLoop,
                 aStore,
                 { .mTable = aFormats.mWorkerTable,
                   .mPart = "",
                   .mPauseBetweenCalls = kRegistryBatchDelay },
                 { .mOnRow = [this](const Row& aRow) { OnWorkerRow(aRow); },
                   .mOnRemoved =
                     [this](const std::string& aName) {
                       mScheduler.UnregisterWorker(WorkerId(aName), Now());
                       ScheduleTick();
                     },
                   .mOnSynchronized = {} })
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
  return { .mSteady = std::chrono::steady_clock::now(),
           .mUnix = std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch()) };
}

Duration
OwnerSession::StoreAge(TimePoint aNow) const
{
  return aNow - mJournal.RenewedAt();
}

jobs::SchedulerHooks
OwnerSession::MakeSchedulerHooks()
{
  return {
    .mStart =
      [this](const jobs::StartOrder& aOrder) {
        mWorkerCalls.Start(
          aOrder,
          [this, alive = mAlive, aOrder](const jobs::OrderAnswer& aAnswer) {
            if (*alive) {
              mScheduler.OnStartAnswer(aOrder, aAnswer, Now());
              ScheduleTick();
            }
          });
      },
    .mStop =
      [this](const jobs::StopOrder& aOrder) {
        mWorkerCalls.Stop(
          aOrder,
          [this, alive = mAlive, aOrder](const jobs::OrderAnswer& aAnswer) {
            if (*alive) {
              mScheduler.OnStopAnswer(aOrder, aAnswer, Now());
              ScheduleTick();
            }
          });
      },
    .mPoll =
      [this](const jobs::PollOrder& aOrder) {
        mWorkerCalls.Poll(
          aOrder,
          [this, alive = mAlive, aOrder](TimePoint aSentAt,
                                         const jobs::PollAnswer& aAnswer) {
            if (*alive) {
              mScheduler.OnPollAnswer(aOrder, aSentAt, aAnswer, Now());
              ScheduleTick();
            }
          });
      },
    .mAskAdvice =
      [this](const jobs::AdviceQuery& aQuery) {
        mAdviceDispatcher.Add(aQuery);
      },
    .mOnFenced =
      [this](const WorkerId& aWorker) {
        LogWarning("worker_refused_stale_epoch")
          .With("worker", aWorker)
          .With("epoch", mOwner.mEpoch);
      },
    .mOnStepStarted =
      [this](Duration aWaited) { mHooks.mOnStageTime(Stage::Queue, aWaited); },
    .mOnJobClosed =
      [this](Duration aAge) { mHooks.mOnStageTime(Stage::Job, aAge); }
  };
}

void
OwnerSession::OnLoaded(const jobs::CellRecords& aRecords)
{
  LogInfo("shard_loaded")
    .With("epoch", mOwner.mEpoch)
    .With("jobs", aRecords.mJobs.size())
    .With("progress", aRecords.mProgress.size())
    .With("finished", aRecords.mFinished.size())
    .With("workers", aRecords.mWorkers.size());
  mScheduler.Recover(aRecords, Now());
  if (mPredecessorGone) {
    mScheduler.OnPredecessorGone(Now());
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
  if (mLoaded) {
    mScheduler.OnPredecessorGone(Now());
  }
}

void
OwnerSession::Configure(const jobs::CellConfiguration& aConfiguration)
{
  mScheduler.Configure(aConfiguration);
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
  const jobs::CellConfiguration& configuration = mScheduler.Configuration();
  // A job that an earlier owner accepted must not be refused.
  const bool known =
    mScheduler.Find(jobs::JobId(LastSegment(aRequest.mPath))).has_value();
  if (aRequest.mVersion > configuration.mVersion && !known) {
    aReply({ .mKind = CallerAnswerKind::Refused,
             .mRetryAfter = kRetryAfterStaleConfiguration,
             .mMessage = "the configuration is being read" });
    return;
  }
  const QueueMatch match =
    MatchQueue(configuration, aRequest.mHost, aRequest.mPath);
  if (aRequest.mVerb == CallerVerb::Submit) {
    if (match.mQueue == nullptr && known &&
        aRequest.mVersion > configuration.mVersion) {
      // The queue may exist in a newer configuration than this node has read.
      aReply({ .mKind = CallerAnswerKind::Undetermined,
               .mMessage = "the configuration is being read" });
    } else if (match.mQueue == nullptr) {
      aReply({ .mKind = CallerAnswerKind::UnknownQueue });
    } else if (!IsJobId(match.mRest)) {
      aReply({ .mKind = CallerAnswerKind::Malformed,
               .mMessage = "a job id has 16 hexadecimal digits" });
    } else {
      Submit(*match.mQueue, jobs::JobId(match.mRest), aRequest, aReply);
    }
    return;
  }
  // A job outlives its queue, and callers still use the old path for it.
  const std::string rest =
    match.mQueue != nullptr ? match.mRest : LastSegment(aRequest.mPath);
  if (match.mQueue == nullptr && !IsJobId(rest)) {
    aReply({ .mKind = CallerAnswerKind::UnknownQueue });
    return;
  }
  if (aRequest.mVerb == CallerVerb::Cancel) {
    Cancel(jobs::JobId(rest), aReply);
    return;
  }
  if (match.mQueue != nullptr) {
    AnswerQuery(*match.mQueue, rest, aReply);
    return;
  }
  const std::optional<jobs::JobView> view = mScheduler.Find(jobs::JobId(rest));
  if (view.has_value()) {
    aReply({ .mKind = CallerAnswerKind::State, .mState = view->mState });
  } else {
    aReply({ .mKind = CallerAnswerKind::UnknownQueue });
  }
}

void
OwnerSession::Submit(const jobs::QueuePolicy& aQueue,
                     const jobs::JobId& aId,
                     const CallerRequest& aRequest,
                     const AnswerCallback& aReply)
{
  const std::optional<jobs::JobView> known = mScheduler.Find(aId);
  if (known.has_value() && known->mRecorded) {
    aReply({ .mKind = CallerAnswerKind::Accepted });
    return;
  }
  if (!known.has_value() && (!CanRecordSoon() || mReleasing)) {
    aReply(kStoreUnavailableAnswer);
    return;
  }
  absl::StatusOr<jobs::JobSpec> spec = mFormats.mDecodeJob(aRequest.mBody);
  if (!spec.ok()) {
    aReply({ .mKind = CallerAnswerKind::Malformed,
             .mMessage = std::string(spec.status().message()) });
    return;
  }
  const jobs::RecordPosition position =
    mScheduler.Submit(aId, aQueue, *std::move(spec), Now());
  ReplyWhenRecorded(
    position, { .mKind = CallerAnswerKind::Accepted }, aReply, aId);
}

// Returns false when a submission would wait too long for its record to be
// stored; the caller should retry it later.
bool
OwnerSession::CanRecordSoon() const
{
  const TimePoint now = std::chrono::steady_clock::now();
  const Duration outstanding = mJournal.OutstandingTime(now);
  const Duration write = mJournal.ExpectedCommitTime();
  if (outstanding > StoreUnavailableAfter() ||
      std::max(write - outstanding, Duration::zero()) + write >
        kMaxRecordingWait) {
    return false;
  }
  // A reply that has waited for more than two transactions shows that changes
  // arrive faster than they can be written.
  return mWaitingReplies.empty() || mWaitingReplies.front().mQueuedAt +
                                        2 * write + kStoreUnavailableAfter >
                                      now;
}

Duration
OwnerSession::StoreUnavailableAfter() const
{
  return std::clamp<Duration>(kStoreUnavailableRoundTrips *
                                mJournal.ExpectedCommitTime(),
                              kStoreUnavailableAfter,
                              kMaxStoreUnavailableAfter);
}

void
OwnerSession::RefuseUnbatchedSubmissions()
{
  std::vector<AnswerCallback> refused;
  // The same job may have been submitted several times.
  std::set<jobs::JobId> withdrawnJobs;
  std::erase_if(mWaitingReplies, [&](WaitingReply& aEntry) {
    const jobs::JobId& job = aEntry.mSubmitted;
    const bool withdrawn =
      !job.Empty() && (withdrawnJobs.contains(job) || mScheduler.Withdraw(job));
    if (withdrawn) {
      withdrawnJobs.insert(job);
      refused.push_back(std::move(aEntry.mReply));
    }
    return withdrawn;
  });
  for (const AnswerCallback& reply : refused) {
    reply(kStoreUnavailableAnswer);
  }
}

void
OwnerSession::AnswerQuery(const jobs::QueuePolicy& aQueue,
                          const std::string& aRest,
                          const AnswerCallback& aReply)
{
  if (aRest.empty()) {
    aReply({ .mKind = CallerAnswerKind::Count,
             .mCount = mScheduler.Waiting(aQueue.mName) });
    return;
  }
  const std::optional<jobs::JobView> view = mScheduler.Find(jobs::JobId(aRest));
  if (!view.has_value()) {
    aReply({ .mKind = CallerAnswerKind::UnknownJob });
    return;
  }
  aReply({ .mKind = CallerAnswerKind::State, .mState = view->mState });
}

void
OwnerSession::Cancel(const jobs::JobId& aId, const AnswerCallback& aReply)
{
  const std::optional<jobs::RecordPosition> position =
    mScheduler.Cancel(aId, Now());
  if (!position.has_value()) {
    aReply({ .mKind = CallerAnswerKind::UnknownJob });
    return;
  }
  ReplyWhenRecorded(
    *position, { .mKind = CallerAnswerKind::Cancelled }, aReply);
}

void
OwnerSession::ReplyWhenRecorded(jobs::RecordPosition aPosition,
                                CallerAnswer aAnswer,
                                AnswerCallback aReply,
                                const jobs::JobId& aSubmitted)
{
  if (aPosition <= mScheduler.Records().Recorded()) {
    aReply(aAnswer);
    return;
  }
  mWaitingReplies.push_back({ .mPosition = aPosition,
                              .mAnswer = std::move(aAnswer),
                              .mReply = std::move(aReply),
                              .mQueuedAt = std::chrono::steady_clock::now(),
                              .mSubmitted = aSubmitted });
  ScheduleTick();
}

void
OwnerSession::OnRecorded(jobs::RecordPosition aPosition)
{
  mScheduler.OnRecorded(aPosition, Now());
  std::deque<WaitingReply> waiting = std::exchange(mWaitingReplies, {});
  for (WaitingReply& entry : waiting) {
    if (entry.mPosition <= aPosition) {
      entry.mReply(entry.mAnswer);
    } else {
      mWaitingReplies.push_back(std::move(entry));
    }
  }
  if (mJournal.IsReleased()) {
    mHooks.mOnReleased();
    return;
  }
  ScheduleTick();
}

void
OwnerSession::OnAdvice(QueryId aId, jobs::AdviceAnswer aAnswer)
{
  std::optional<jobs::AdviceQuery> query = mAdviceDispatcher.OnAnswer(aId);
  if (!query.has_value()) {
    return;
  }
  aAnswer.mAsked = std::move(query->mWorkers);
  mScheduler.OnAdvice(aAnswer, Now());
  ScheduleTick();
}

RelayedCallsHooks
OwnerSession::MakeRelayedCallsHooks(const UpstreamHooks& aUpstreams)
{
  return { .mDirect = aUpstreams,
           .mSend =
             [this](const NodeId& aNode, cellwire::WorkerCallBatchT aBatch) {
               mHooks.mSendWorkerCalls(aNode, std::move(aBatch));
             },
           .mRequestFlush =
             [this] {
               mLoop.Post([this, alive = mAlive] {
                 if (*alive) {
                   mRelayedCalls.Flush();
                 }
               });
             },
           .mNow = [] { return std::chrono::steady_clock::now(); } };
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
  mJournal.Release();
  ScheduleTick();
}

void
OwnerSession::ScheduleTick()
{
  mTimer->StartWithin(kSoonTickDelay);
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
  if (mLoaded && !mReleasing) {
    mScheduler.SetOwnershipEnd(mJournal.RenewedAt() +
                               mOptions.mScheduler.mOwnershipLease);
    mScheduler.Advance(now);
  }
  if (mJournal.OutstandingTime(now.mSteady) > StoreUnavailableAfter()) {
    RefuseUnbatchedSubmissions();
  }
  const bool waiting = mScheduler.Records().HasWaiting() || mReleasing;
  mJournal.Tick(now.mSteady);
  mTimer->StartWithin(waiting ? kSoonTickDelay * 4 : kTickInterval);
}

} // namespace oriolevane::cellnode
