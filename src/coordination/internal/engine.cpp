#include "coordination/internal/engine.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace oriolevane::coordination::internal {

namespace {

constexpr std::chrono::milliseconds kForgetInterval{ 1'000 };
// The epoch stands above these bits of a message's sequence number, so that the
// numbers are higher than those of all earlier epochs.
constexpr std::uint32_t kSequenceBits = 36;
constexpr std::size_t kMaxOrphansPerTick = 500;
constexpr std::chrono::milliseconds kDeadlineRecheckDelay{ 1'000 };

} // namespace

Engine::Engine(CoordinatorOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mPolicy(std::make_shared<policy::CellPolicy>())
  , mRouter(aOptions.mShardCount)
  , mShardSequences(aOptions.mShardCount,
                    aOptions.mEpoch.mValue << kSequenceBits)
  , mFirstSequence(aOptions.mEpoch.mValue << kSequenceBits)
{
}

std::vector<CoordinatorAction>
Engine::Handle(const CoordinatorEvent& aEvent, TimePoint aNow)
{
  mNow = aNow;
  std::visit([this](const auto& aAny) { On(aAny); }, aEvent);
  FlushRecords();
  return std::exchange(mActions, {});
}

void
Engine::On(const CallArrived& aEvent)
{
  const Waiter waiter{ .mOrigin = mCalls.OriginNumber(aEvent.mOrigin),
                       .mCall = aEvent.mCall.mCall };
  std::visit(
    [&](const auto& aBody) {
      using Body = std::decay_t<decltype(aBody)>;
      if constexpr (std::is_same_v<Body, protocol::SubmitCall>) {
        Submit(waiter, aBody.mSpec);
      } else if constexpr (std::is_same_v<Body, protocol::StatusCall>) {
        HandleStatusCall(waiter, aBody);
      } else {
        Cancel(waiter, aBody);
      }
    },
    aEvent.mCall.mBody);
}

void
Engine::On(const CallAbandoned& aEvent)
{
  const std::uint32_t origin = mCalls.OriginNumber(aEvent.mOrigin);
  LiveRequest* request = mCalls.RequestOf(origin, aEvent.mCall);
  if (request == nullptr) {
    return;
  }
  mCalls.Close({ .mOrigin = origin, .mCall = aEvent.mCall });
  std::erase_if(request->mWaiters, [&](const Waiter& aWaiter) {
    return aWaiter.mOrigin == origin && aWaiter.mCall == aEvent.mCall;
  });
}

void
Engine::On(const DigestReceived& aEvent)
{
  const protocol::ShardDigest& digest = aEvent.mDigest;
  if (mRouter.Exists(digest.mShard) &&
      ObserveEpoch(digest.mShard, digest.mEpoch)) {
    mRouter.UpdateDigest(digest);
  }
}

void
Engine::On(const PolicyChanged& aEvent)
{
  if (aEvent.mPolicy == nullptr ||
      aEvent.mPolicy->mVersion < mPolicy->mVersion) {
    return;
  }
  mPolicy = aEvent.mPolicy;
  mAdmission.SetRate(mPolicy->mAdmissionRate /
                     std::max<std::uint32_t>(mOptions.mPartitionCount, 1));
  for (const auto& [team, quota] : mPolicy->mTeams) {
    mAdmission.SetWeight(team, quota.mWeight);
  }
}

void
Engine::On(const DrainBegan&)
{
  mDraining = true;
}

void
Engine::On(const Tick&)
{
  mAppendsPaused = false;
  for (LiveRequest* request :
       mRequests.TakeDue(mNow, mOptions.mMaxDueRequestsPerTick)) {
    RunTimers(*request);
  }
  if (mNow >= mReconcileQueriesAt) {
    SendReconcileQueries();
  }
  for (const OrphanAttempt& orphan :
       mOrphans.TakeDue(mNow, mOptions.mResendInterval, kMaxOrphansPerTick)) {
    Send(orphan.mShard, protocol::CancelTasks{ .mTasks = { orphan.mTask } });
  }
  mOrphans.ForgetEnded(mNow - mOptions.mOutcomeRetention);
  ForgetOutcomes();
}

void
Engine::RunTimers(LiveRequest& aRequest)
{
  if (mNow >= aRequest.mDeadlineAt) {
    OnDeadline(aRequest);
  }
  if (mNow >= aRequest.mDispatchAt) {
    aRequest.mDispatchAt = TimePoint::max();
    Dispatch(aRequest);
  }
  if (mNow >= aRequest.mResendAt) {
    aRequest.mResendAt = TimePoint::max();
    Resend(aRequest);
  }
  mRequests.Reschedule(aRequest);
}

// Finishes the request at once when no attempt is with a placer. Otherwise the
// attempts are cancelled, which yields the outcome, and the waiting callers are
// told that it is not known yet.
void
Engine::OnDeadline(LiveRequest& aRequest)
{
  aRequest.mDeadlineAt = TimePoint::max();
  if (!mServing) {
    aRequest.mDeadlineAt = mNow + kDeadlineRecheckDelay;
    return;
  }
  if (aRequest.mFinalStatus) {
    return;
  }
  aRequest.mDeadlinePassed = true;
  AddTrailEntry(aRequest, TrailEvent::DeadlinePassed, {});
  CancelOpenTasks(aRequest);
  if (!aRequest.mFinalStatus) {
    ReplyWaiters(aRequest,
                 { WaitFor::Outcome, WaitFor::Acceptance },
                 StatusOf(aRequest, false));
  }
}

void
Engine::ForgetOutcomes()
{
  if (mNow < mNextForgetAt || mForgetRecordPending || !mStoreAvailable) {
    return;
  }
  mNextForgetAt = mNow + kForgetInterval;
  const std::uint64_t upTo =
    mOutcomes.LastForgettableSequence(mNow - mOptions.mOutcomeRetention,
                                      mOptions.mMaxOutcomes,
                                      mOptions.mMaxOutcomeBytes);
  if (upTo > 0) {
    mForgetRecordPending = true;
    Append(ForgottenRecord{ .mUpTo = upTo });
  }
}

bool
Engine::IsIdle() const
{
  if (mPendingRecords.Size() > 0) {
    return false;
  }
  return std::all_of(mRequests.Requests().begin(),
                     mRequests.Requests().end(),
                     [](const auto& aEntry) {
                       const LiveRequest& request = *aEntry.second;
                       return request.mSpec.mService && !request.mCancelled;
                     });
}

std::chrono::milliseconds
Engine::Age(const LiveRequest& aRequest) const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    mNow - aRequest.mSubmitted);
}

void
Engine::AddTrailEntry(LiveRequest& aRequest,
                      TrailEvent aEvent,
                      std::string aDetail)
{
  aRequest.mTrail.Add(Age(aRequest), aEvent, std::move(aDetail));
}

} // namespace oriolevane::coordination::internal
