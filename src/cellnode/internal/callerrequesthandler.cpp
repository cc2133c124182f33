#include "cellnode/internal/callerrequesthandler.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "cellnode/adviceadmission.h"
#include "cellnode/internal/retryspread.h"
#include "cellnode/queuerouter.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

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

// Callers that are refused because the owner is overloaded return at different
// times: after the first time, and up to the spread later.
constexpr std::chrono::milliseconds kRetryAfterOverload = 1000ms;
constexpr std::chrono::milliseconds kOverloadRetrySpread = 2000ms;
constexpr std::chrono::milliseconds kRetryAfterHandover = 1000ms;
// Memory becomes free as open jobs end.
constexpr std::chrono::milliseconds kRetryAfterFullMemory = 2000ms;
constexpr std::chrono::milliseconds kFullMemoryRetrySpread = 4000ms;
// Sent to callers whose job can run only once the operator has raised a quota.
constexpr std::chrono::seconds kRetryAfterNewQuota = 60s;

const CallerAnswer kHandoverAnswer{ .mKind = CallerAnswerKind::Refused,
                                    .mRetryAfter = kRetryAfterHandover,
                                    .mMessage = "the owner is changing" };

const CallerAnswer kStoreUnavailableAnswer{ .mKind = CallerAnswerKind::Refused,
                                            .mRetryAfter =
                                              kRetryAfterStoreUnavailable,
                                            .mMessage =
                                              "the store does not answer" };

CallerAnswer
OverloadedAnswer(const jobs::JobId& aId)
{
  return { .mKind = CallerAnswerKind::Refused,
           .mRetryAfter =
             SpreadRetry(aId, kRetryAfterOverload, kOverloadRetrySpread),
           .mMessage = "the scheduler is overloaded" };
}

CallerAnswer
FullMemoryAnswer(const jobs::JobId& aId)
{
  return { .mKind = CallerAnswerKind::Refused,
           .mRetryAfter =
             SpreadRetry(aId, kRetryAfterFullMemory, kFullMemoryRetrySpread),
           .mMessage = "the open jobs take all memory for jobs" };
}

// The query string is ignored.
std::string
LastSegment(const std::string& aPath)
{
  const std::string path = aPath.substr(0, aPath.find('?'));
  return path.substr(path.rfind('/') + 1);
}

} // namespace

CallerRequestHandler::CallerRequestHandler(const ExternalFormats& aFormats,
                                           jobs::CellScheduler& aScheduler,
                                           CellJournal& aJournal,
                                           CallerRequestHooks aHooks)
  : mFormats(aFormats)
  , mScheduler(aScheduler)
  , mJournal(aJournal)
  , mHooks(std::move(aHooks))
{
}

void
CallerRequestHandler::Serve(const CallerRequest& aRequest,
                            const AnswerCallback& aReply)
{
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
  // A job outlives its queue, and callers still use the old path for it.
  const std::string rest =
    match.mQueue != nullptr ? match.mRest : LastSegment(aRequest.mPath);
  const std::optional<jobs::JobView> view = mScheduler.Find(jobs::JobId(rest));
  if (match.mQueue == nullptr && aRequest.mVerb == CallerVerb::Submit &&
      known && aRequest.mVersion > configuration.mVersion) {
    // The queue may exist in a newer configuration than this node has read.
    aReply({ .mKind = CallerAnswerKind::Undetermined,
             .mMessage = "the configuration is being read" });
    return;
  }
  if (match.mQueue == nullptr &&
      (aRequest.mVerb == CallerVerb::Submit || !view.has_value())) {
    AnswerUnknownTarget(aRequest, rest, aReply);
    return;
  }
  const bool isPublic =
    match.mQueue != nullptr ? match.mQueue->mPublic : view->mTeam.Empty();
  const CallerAuthorization caller = mHooks.mAuthorize(
    aRequest, { .mPublic = isPublic, .mJobKnown = view.has_value() });
  if (caller.mRefusal.has_value()) {
    aReply(*caller.mRefusal);
    return;
  }
  if (view.has_value() && !caller.MayAccessJobOf(view->mTeam)) {
    aReply({ .mKind = aRequest.mVerb == CallerVerb::Submit
                        ? CallerAnswerKind::Forbidden
                        : CallerAnswerKind::UnknownJob });
    return;
  }
  Execute(aRequest, caller, match.mQueue, rest, aReply);
}

void
CallerRequestHandler::AnswerUnknownTarget(const CallerRequest& aRequest,
                                          const std::string& aRest,
                                          const AnswerCallback& aReply)
{
  const bool cancelsJob =
    aRequest.mVerb == CallerVerb::Cancel && IsJobId(aRest);
  if (cancelsJob) {
    ReplyUnknownJob(aReply);
    return;
  }
  aReply({ .mKind = CallerAnswerKind::UnknownQueue });
}

void
CallerRequestHandler::Execute(const CallerRequest& aRequest,
                              const CallerAuthorization& aCaller,
                              const jobs::QueuePolicy* aQueue,
                              const std::string& aRest,
                              const AnswerCallback& aReply)
{
  const jobs::JobId job(aRest);
  if (aRequest.mVerb == CallerVerb::Submit) {
    if (IsJobId(aRest)) {
      Submit(*aQueue, job, aCaller.mTeam, aRequest, aReply);
    } else {
      aReply({ .mKind = CallerAnswerKind::Malformed,
               .mMessage = "a job id has 16 hexadecimal digits" });
    }
    return;
  }
  if (aRequest.mVerb == CallerVerb::Cancel) {
    Cancel(job, aCaller.mTeam, aReply);
    return;
  }
  if (aQueue != nullptr && aRest.empty()) {
    aReply({ .mKind = CallerAnswerKind::Count,
             .mCount = mScheduler.Waiting(aQueue->mName) });
    return;
  }
  const std::optional<jobs::JobView> view = mScheduler.Find(job);
  if (!view.has_value()) {
    ReplyUnknownJob(aReply);
    return;
  }
  aReply({ .mKind = CallerAnswerKind::State, .mState = view->mState });
}

void
CallerRequestHandler::Submit(const jobs::QueuePolicy& aQueue,
                             const jobs::JobId& aId,
                             const TeamId& aTeam,
                             const CallerRequest& aRequest,
                             const AnswerCallback& aReply)
{
  const std::optional<jobs::JobView> known = mScheduler.Find(aId);
  if (known.has_value() && known->mRecorded) {
    aReply({ .mKind = CallerAnswerKind::Accepted });
    return;
  }
  if (!known.has_value()) {
    if (const auto refusal = RefusalOfNewJob(aQueue, aId);
        refusal.has_value()) {
      aReply(*refusal);
      return;
    }
  }
  absl::StatusOr<jobs::JobSpec> spec = mFormats.mDecodeJob(aRequest.mBody);
  if (!spec.ok()) {
    aReply({ .mKind = CallerAnswerKind::Malformed,
             .mMessage = std::string(spec.status().message()) });
    return;
  }
  jobs::Submission submission{
    .mId = aId, .mQueue = aQueue, .mSpec = *std::move(spec), .mTeam = aTeam
  };
  const jobs::Moment now = mHooks.mNow();
  if (const auto refusal = mScheduler.RefusalFor(submission, now);
      refusal.has_value()) {
    aReply({ .mKind = CallerAnswerKind::RateLimited,
             .mRetryAfter = refusal->mRetryAfter.value_or(kRetryAfterNewQuota),
             .mMessage = refusal->mMessage });
    return;
  }
  if (!mScheduler.HasMemoryFor(submission)) {
    aReply(FullMemoryAnswer(aId));
    return;
  }
  const jobs::RecordPosition position =
    mScheduler.Submit(std::move(submission), now);
  ReplyWhenRecorded(
    position, { .mKind = CallerAnswerKind::Accepted }, aReply, aId);
}

std::optional<CallerAnswer>
CallerRequestHandler::RefusalOfNewJob(const jobs::QueuePolicy& aQueue,
                                      const jobs::JobId& aId) const
{
  if (mRefusesNewJobs) {
    return kHandoverAnswer;
  }
  if (mOverloaded) {
    return OverloadedAnswer(aId);
  }
  if (!CanRecordSoon()) {
    return kStoreUnavailableAnswer;
  }
  return RefusalForAdvice(aQueue, aId, mHooks.mAdviceWait());
}

// Returns false when a submission would wait too long for its record to be
// stored; the caller should retry it later.
bool
CallerRequestHandler::CanRecordSoon() const
{
  const TimePoint now = mHooks.mNow().mSteady;
  const RecordingState state = mJournal.State(now);
  if (state.mOutstanding > StoreUnavailableAfter() ||
      ExpectedRecordingTime(state) > kMaxRecordingWait) {
    return false;
  }
  // A reply that has waited for more than two transactions shows that changes
  // arrive faster than they can be written.
  return mWaitingReplies.empty() || mWaitingReplies.front().mQueuedAt +
                                        2 * state.mCommitTime +
                                        kStoreUnavailableAfter >
                                      now;
}

Duration
CallerRequestHandler::StoreUnavailableAfter() const
{
  return std::clamp<Duration>(kStoreUnavailableRoundTrips *
                                mJournal.ExpectedCommitTime(),
                              kStoreUnavailableAfter,
                              kMaxStoreUnavailableAfter);
}

void
CallerRequestHandler::RefuseUnbatchedSubmissions(TimePoint aQueuedBefore)
{
  std::vector<AnswerCallback> refused;
  // The same job may have been submitted several times, the last time later
  // than aQueuedBefore.
  std::set<jobs::JobId> withdrawnJobs;
  std::erase_if(mWaitingReplies, [&](WaitingReply& aEntry) {
    const jobs::JobId& job = aEntry.mSubmitted;
    const bool withdrawn =
      !job.Empty() &&
      (withdrawnJobs.contains(job) ||
       (aEntry.mQueuedAt < aQueuedBefore && mScheduler.Withdraw(job)));
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
CallerRequestHandler::Cancel(const jobs::JobId& aId,
                             const TeamId& aTeam,
                             const AnswerCallback& aReply)
{
  const jobs::Moment now = mHooks.mNow();
  const std::optional<jobs::RecordPosition> position =
    mScheduler.Cancel(aId, now);
  if (!position.has_value()) {
    CancelUnknownJob(aId, aTeam, aReply);
    return;
  }
  ReplyWhenRecorded(
    *position, { .mKind = CallerAnswerKind::Cancelled }, aReply);
}

void
CallerRequestHandler::CancelUnknownJob(const jobs::JobId& aId,
                                       const TeamId& aTeam,
                                       const AnswerCallback& aReply)
{
  if (!IsJobId(aId.mValue)) {
    ReplyUnknownJob(aReply);
    return;
  }
  const jobs::RecordPosition position =
    mScheduler.CancelUnsubmitted(aId, aTeam, mHooks.mNow());
  mJournal.RequestRenewal();
  ReplyWhenRecorded(
    position, { .mKind = CallerAnswerKind::UnknownJob }, aReply);
}

void
CallerRequestHandler::ReplyWhenRecorded(jobs::RecordPosition aPosition,
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
                              .mQueuedAt = mHooks.mNow().mSteady,
                              .mSubmitted = aSubmitted });
  mHooks.mOnWork();
}

void
CallerRequestHandler::OnRecorded(jobs::RecordPosition aPosition)
{
  std::deque<WaitingReply> waiting = std::exchange(mWaitingReplies, {});
  for (WaitingReply& entry : waiting) {
    if (entry.mPosition <= aPosition) {
      entry.mReply(entry.mAnswer);
    } else {
      mWaitingReplies.push_back(std::move(entry));
    }
  }
  ReplyToUnconfirmed();
}

void
CallerRequestHandler::ReplyUnknownJob(AnswerCallback aReply)
{
  mUnconfirmedReplies.push_back(
    { .mSequence = mJournal.BuiltSequence(), .mReply = std::move(aReply) });
  mJournal.RequestRenewal();
  mHooks.mOnWork();
}

void
CallerRequestHandler::ReplyToUnconfirmed()
{
  const std::uint64_t applied = mJournal.AppliedSequence();
  while (!mUnconfirmedReplies.empty() &&
         mUnconfirmedReplies.front().mSequence < applied) {
    const UnconfirmedReply entry = std::move(mUnconfirmedReplies.front());
    mUnconfirmedReplies.pop_front();
    entry.mReply({ .mKind = CallerAnswerKind::UnknownJob });
  }
}

void
CallerRequestHandler::RefuseUnconfirmed()
{
  for (const UnconfirmedReply& entry : std::exchange(mUnconfirmedReplies, {})) {
    entry.mReply(kStoreUnavailableAnswer);
  }
}

void
CallerRequestHandler::RefuseIfStoreUnavailable(TimePoint aNow)
{
  const RecordingState state = mJournal.State(aNow);
  if (state.mOutstanding > StoreUnavailableAfter()) {
    RefuseUnbatchedSubmissions(TimePoint::max());
    RefuseUnconfirmed();
    return;
  }
  // Those for which even the next transaction would be too late.
  RefuseUnbatchedSubmissions(aNow + RemainingCommitTime(state) +
                             state.mCommitTime - kMaxRecordingWait);
}

} // namespace oriolevane::cellnode
