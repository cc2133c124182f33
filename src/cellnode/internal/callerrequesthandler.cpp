#include "cellnode/internal/callerrequesthandler.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "cellnode/adviceadmission.h"
#include "cellnode/internal/refusals.h"
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
// Sent with the refusal of a request that names a newer configuration than this
// node has read.
constexpr std::chrono::milliseconds kRetryAfterStaleConfiguration = 300ms;
// Sent to callers whose job can run only once the operator has raised a quota.
constexpr std::chrono::seconds kRetryAfterNewQuota = 60s;

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
  const RequestTarget target = ResolveTarget(mScheduler, aRequest);
  const bool staleConfiguration =
    aRequest.mVersion > mScheduler.Configuration().mVersion;
  // A job that an earlier owner accepted must not be refused.
  if (staleConfiguration && !target.IsKnownJob()) {
    aReply({ .mKind = CallerAnswerKind::Refused,
             .mRetryAfter = kRetryAfterStaleConfiguration,
             .mMessage = "the configuration is being read" });
    return;
  }
  const bool submits = aRequest.mVerb == CallerVerb::Submit;
  if (target.mQueue == nullptr && submits && staleConfiguration) {
    // The queue may exist in a newer configuration than this node has read.
    aReply({ .mKind = CallerAnswerKind::Undetermined,
             .mMessage = "the configuration is being read" });
    return;
  }
  if (target.mQueue == nullptr && (submits || !target.IsKnownJob())) {
    AnswerUnknownTarget(aRequest, target, aReply);
    return;
  }
  const CallerAuthorization caller = Authorize(aRequest, target);
  if (caller.mRefusal.has_value()) {
    aReply(*caller.mRefusal);
    return;
  }
  if (target.IsKnownJob() && !caller.MayAccessJobOf(target.mView->mTeam)) {
    aReply({ .mKind = submits ? CallerAnswerKind::Forbidden
                              : CallerAnswerKind::UnknownJob });
    return;
  }
  Execute(aRequest, caller, target, aReply);
}

CallerAuthorization
CallerRequestHandler::Authorize(const CallerRequest& aRequest,
                                const RequestTarget& aTarget) const
{
  const bool isPublic = aTarget.IsPublic();
  const bool ofTeam = aTarget.IsKnownJob() && !aTarget.mView->mTeam.Empty();
  const bool hasKey = aRequest.mCredential == CredentialKind::Key;
  if (isPublic && ofTeam && hasKey) {
    // The queue may have become public after the team submitted the job.
    CallerAuthorization caller =
      mHooks.mAuthorize(aRequest, { .mPublic = false, .mJobKnown = true });
    const bool unknownKey =
      caller.mRefusal.has_value() &&
      caller.mRefusal->mKind == CallerAnswerKind::Unauthorized;
    if (!unknownKey) {
      return caller;
    }
  }
  return mHooks.mAuthorize(
    aRequest, { .mPublic = isPublic, .mJobKnown = aTarget.IsKnownJob() });
}

void
CallerRequestHandler::AnswerUnknownTarget(const CallerRequest& aRequest,
                                          const RequestTarget& aTarget,
                                          const AnswerCallback& aReply)
{
  const bool cancelsJob =
    aRequest.mVerb == CallerVerb::Cancel && IsJobId(aTarget.mJob.mValue);
  if (cancelsJob) {
    ReplyUnknownJob(aReply);
    return;
  }
  aReply({ .mKind = CallerAnswerKind::UnknownQueue });
}

void
CallerRequestHandler::Execute(const CallerRequest& aRequest,
                              const CallerAuthorization& aCaller,
                              const RequestTarget& aTarget,
                              const AnswerCallback& aReply)
{
  const jobs::JobId& job = aTarget.mJob;
  if (aRequest.mVerb == CallerVerb::Submit) {
    if (IsJobId(job.mValue)) {
      Submit(*aTarget.mQueue, job, aCaller.mTeam, aRequest, aReply);
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
  if (job.Empty()) {
    aReply({ .mKind = CallerAnswerKind::Count,
             .mCount = mScheduler.Waiting(aTarget.mQueue->mName) });
    return;
  }
  if (!aTarget.IsKnownJob()) {
    ReplyUnknownJob(aReply);
    return;
  }
  aReply({ .mKind = CallerAnswerKind::State, .mState = aTarget.mView->mState });
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
  if (!mScheduler.HasRoomFor(submission)) {
    aReply(FullHostAnswer(aId));
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
    return HandoverAnswer();
  }
  if (mOverloaded) {
    return OverloadedAnswer(aId);
  }
  if (!CanRecordSoon()) {
    return StoreUnavailableAnswer();
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
    reply(StoreUnavailableAnswer());
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
    entry.mReply(StoreUnavailableAnswer());
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
