#include "cellnode/internal/ownersession.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cellnode/queuerouter.h"
#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// Longest time between two looks at what is due.
constexpr std::chrono::milliseconds kTickEvery = 20ms;
// Events that come together are handled in one go.
constexpr std::chrono::milliseconds kTickSoon = 1ms;
// New work is refused when a transaction has had no answer for so long, or for
// several usual round trips while the store is slow.
constexpr std::chrono::milliseconds kStoreAway = 700ms;
constexpr std::chrono::milliseconds kStoreAwayAtMost = 2500ms;
constexpr int kStoreAwayRoundTrips = 2;
// Callers wait for 3 s; what takes longer than this is better tried later.
constexpr std::chrono::milliseconds kLongestWait = 2400ms;
constexpr std::chrono::milliseconds kRetryWhenStoreAway = 1000ms;
// Retry of a request that names a configuration this node has not read yet.
constexpr std::chrono::milliseconds kRetryWhenBehind = 300ms;
// Changes of the registry are gathered for so long.
constexpr std::chrono::milliseconds kRegistryPause = 250ms;

const CallerAnswer kStoreAwayAnswer{ .mKind = CallerAnswerKind::Refused,
                                     .mRetryAfter = kRetryWhenStoreAway,
                                     .mMessage = "the store does not answer" };

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
                           const OutsideFormats& aFormats,
                           OwnerRow aOwner,
                           RowVersion aOwnerVersion,
                           TimePoint aOwnedSince,
                           OwnerSessionHooks aHooks)
  : mLoop(aLoop)
  , mOptions(aOptions)
  , mWorkerCalls(aUpstreams)
  , mFormats(aFormats)
  , mOwner(std::move(aOwner))
  , mHooks(std::move(aHooks))
  , mScheduler(WithEpoch(aOptions.mScheduler, mOwner.mEpoch),
               SchedulerHooksOf())
  , mDesk({ .mSend =
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
        .mOnLost = [this] { mHooks.mOnLost(); },
        .mNow = [] { return std::chrono::steady_clock::now(); },
        .mOnWritten =
          [this](Duration aTime) { mHooks.mOnStage(Stage::Record, aTime); } })
  , mWorkerWatch(aLoop,
                 aStore,
                 { .mTable = aFormats.mWorkerTable,
                   .mPart = "",
                   .mPause = kRegistryPause },
                 { .mOnRow = [this](const Row& aRow) { OnWorkerRow(aRow); },
                   .mOnRemoved =
                     [this](const std::string& aName) {
                       mScheduler.UnlistWorker(WorkerId(aName), Now());
                       Wake();
                     },
                   .mOnCurrent = {} })
{
  mTimer = mLoop.MakeTimer([this] { Tick(); });
  mJournal.SetRenewedAt(aOwnedSince);
  mDesk.AddAsker(mOptions.mNode);
  mLoader = std::make_unique<CellLoader>(
    mLoop, aStore, kShardPart, [this](const jobs::CellRecords& aRecords) {
      OnLoaded(aRecords);
    });
  Wake();
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
OwnerSession::SchedulerHooksOf()
{
  return {
    .mStart =
      [this](const jobs::StartOrder& aOrder) {
        mWorkerCalls.Start(
          aOrder,
          [this, alive = mAlive, aOrder](const jobs::OrderAnswer& aAnswer) {
            if (*alive) {
              mScheduler.OnStartAnswer(aOrder, aAnswer, Now());
              Wake();
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
              Wake();
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
              Wake();
            }
          });
      },
    .mAskAdvice =
      [this](const jobs::AdviceQuery& aQuery) { mDesk.Add(aQuery); },
    .mOnFenced =
      [this](const WorkerId& aWorker) {
        LogWarning("worker_fenced_us")
          .With("worker", aWorker)
          .With("epoch", mOwner.mEpoch);
      },
    .mOnStepStarted =
      [this](Duration aWaited) { mHooks.mOnStage(Stage::Queue, aWaited); },
    .mOnJobClosed = [this](Duration aAge) { mHooks.mOnStage(Stage::Job, aAge); }
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
  Wake();
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
  Wake();
}

void
OwnerSession::StartServing()
{
  if (mServing || !mLoaded || !mConfigured) {
    return;
  }
  mServing = true;
  mHooks.mOnServing();
  for (auto& [request, reply] : std::exchange(mEarly, {})) {
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
  mScheduler.ListWorker(*entry, Now());
  Wake();
}

void
OwnerSession::Serve(const CallerRequest& aRequest, CallerReply aReply)
{
  if (!mServing) {
    mEarly.emplace_back(aRequest, std::move(aReply));
    return;
  }
  const jobs::CellConfiguration& configuration = mScheduler.Configuration();
  // A job that an earlier owner has accepted is not refused.
  const bool known =
    mScheduler.Find(jobs::JobId(LastSegment(aRequest.mPath))).has_value();
  if (aRequest.mVersion > configuration.mVersion && !known) {
    aReply({ .mKind = CallerAnswerKind::Refused,
             .mRetryAfter = kRetryWhenBehind,
             .mMessage = "the configuration is being read" });
    return;
  }
  const QueueMatch match =
    MatchQueue(configuration, aRequest.mHost, aRequest.mPath);
  if (aRequest.mVerb == CallerVerb::Submit) {
    if (match.mQueue == nullptr && known &&
        aRequest.mVersion > configuration.mVersion) {
      // The queue is newer than the configuration here.
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
  // Jobs outlive their queue; callers then still ask by the old path.
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
    Ask(*match.mQueue, rest, aReply);
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
                     const CallerReply& aReply)
{
  const std::optional<jobs::JobView> known = mScheduler.Find(aId);
  if (known.has_value() && known->mRecorded) {
    aReply({ .mKind = CallerAnswerKind::Accepted });
    return;
  }
  if (!known.has_value() && (!CanRecordSoon() || mReleasing)) {
    aReply(kStoreAwayAnswer);
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

// A submission that would wait long for its record is better tried later.
bool
OwnerSession::CanRecordSoon() const
{
  const TimePoint now = std::chrono::steady_clock::now();
  const Duration outstanding = mJournal.Outstanding(now);
  const Duration write = mJournal.ExpectedWrite();
  if (outstanding > StoreAwayAfter() ||
      std::max(write - outstanding, Duration::zero()) + write > kLongestWait) {
    return false;
  }
  // What waits for longer than two transactions shows that more comes than can
  // be written.
  return mWaiting.empty() ||
         mWaiting.front().mSince + 2 * write + kStoreAway > now;
}

Duration
OwnerSession::StoreAwayAfter() const
{
  return std::clamp<Duration>(kStoreAwayRoundTrips * mJournal.ExpectedWrite(),
                              kStoreAway,
                              kStoreAwayAtMost);
}

void
OwnerSession::RefuseUnwritten()
{
  std::vector<CallerReply> refused;
  // One job may have been submitted several times.
  std::set<jobs::JobId> gone;
  std::erase_if(mWaiting, [&](WaitingReply& aEntry) {
    const jobs::JobId& job = aEntry.mSubmitted;
    const bool withdrawn =
      !job.Empty() && (gone.contains(job) || mScheduler.Withdraw(job));
    if (withdrawn) {
      gone.insert(job);
      refused.push_back(std::move(aEntry.mReply));
    }
    return withdrawn;
  });
  for (const CallerReply& reply : refused) {
    reply(kStoreAwayAnswer);
  }
}

void
OwnerSession::Ask(const jobs::QueuePolicy& aQueue,
                  const std::string& aRest,
                  const CallerReply& aReply)
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
OwnerSession::Cancel(const jobs::JobId& aId, const CallerReply& aReply)
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
                                CallerReply aReply,
                                const jobs::JobId& aSubmitted)
{
  if (aPosition <= mScheduler.Records().Recorded()) {
    aReply(aAnswer);
    return;
  }
  mWaiting.push_back({ .mPosition = aPosition,
                       .mAnswer = std::move(aAnswer),
                       .mReply = std::move(aReply),
                       .mSince = std::chrono::steady_clock::now(),
                       .mSubmitted = aSubmitted });
  Wake();
}

void
OwnerSession::OnRecorded(jobs::RecordPosition aPosition)
{
  mScheduler.OnRecorded(aPosition, Now());
  std::deque<WaitingReply> waiting = std::exchange(mWaiting, {});
  for (WaitingReply& entry : waiting) {
    if (entry.mPosition <= aPosition) {
      entry.mReply(entry.mAnswer);
    } else {
      mWaiting.push_back(std::move(entry));
    }
  }
  if (mJournal.IsReleased()) {
    mHooks.mOnReleased();
    return;
  }
  Wake();
}

void
OwnerSession::OnAdvice(QueryId aId, const jobs::AdviceAnswer& aAnswer)
{
  if (mDesk.OnAnswer(aId)) {
    mScheduler.OnAdvice(aAnswer, Now());
    Wake();
  }
}

void
OwnerSession::Release()
{
  mReleasing = true;
  mJournal.Release();
  Wake();
}

void
OwnerSession::Wake()
{
  mTimer->StartWithin(kTickSoon);
}

void
OwnerSession::Tick()
{
  if (mHalted) {
    return;
  }
  const jobs::Moment now = Now();
  if (mLoaded && !mReleasing) {
    mScheduler.SetAuthority(mJournal.RenewedAt() +
                            mOptions.mScheduler.mAuthority);
    mScheduler.Advance(now);
  }
  if (mJournal.Outstanding(now.mSteady) > StoreAwayAfter()) {
    RefuseUnwritten();
  }
  const bool waiting = mScheduler.Records().HasWaiting() || mReleasing;
  mJournal.Tick(now.mSteady);
  mTimer->StartWithin(waiting ? kTickSoon * 4 : kTickEvery);
}

} // namespace oriolevane::cellnode
