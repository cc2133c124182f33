#include "coordination/internal/engine.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace oriolevane::coordination::internal {

namespace {

constexpr std::chrono::milliseconds kForgetEvery{ 1'000 };
// Sequences of messages start above those of all earlier epochs.
constexpr std::uint32_t kSequenceBits = 36;
constexpr std::size_t kOrphansPerTick = 500;
constexpr std::chrono::milliseconds kDeadlineRetryAfter{ 1'000 };

} // namespace

Engine::Engine(CoordinatorOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mPolicy(std::make_shared<policy::CellPolicy>())
  , mRouter(aOptions.mShardCount)
  , mSequences(aOptions.mShardCount, aOptions.mEpoch.mValue << kSequenceBits)
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
        AskStatus(waiter, aBody);
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
    mRouter.TakeDigest(digest);
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
  mPauseRecords = false;
  for (LiveRequest* request :
       mRequests.TakeDue(mNow, mOptions.mMostDuePerTick)) {
    ServeDue(*request);
  }
  if (mNow >= mAskShardsAt) {
    AskShards();
  }
  for (const OrphanAttempt& orphan :
       mOrphans.TakeDue(mNow, mOptions.mResendAfter, kOrphansPerTick)) {
    Send(orphan.mShard, protocol::CancelTasks{ .mTasks = { orphan.mTask } });
  }
  mOrphans.ForgetEnded(mNow - mOptions.mOutcomeRetention);
  ForgetOutcomes();
}

void
Engine::ServeDue(LiveRequest& aRequest)
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

// Without an attempt out, the outcome is certain at once. Otherwise the waiting
// callers learn that it is not known yet, and the truth is found by
// cancelling.
void
Engine::OnDeadline(LiveRequest& aRequest)
{
  aRequest.mDeadlineAt = TimePoint::max();
  if (!mServing) {
    aRequest.mDeadlineAt = mNow + kDeadlineRetryAfter;
    return;
  }
  if (aRequest.mFinished) {
    return;
  }
  aRequest.mDeadlinePassed = true;
  Note(aRequest, TrailEvent::DeadlinePassed, {});
  WithdrawSlots(aRequest);
  if (!aRequest.mFinished) {
    ReplyWaiters(aRequest,
                 { WaitFor::Outcome, WaitFor::Acceptance },
                 StatusOf(aRequest, false));
  }
}

void
Engine::ForgetOutcomes()
{
  if (mNow < mForgetAt || mForgetting || !mStoreAvailable) {
    return;
  }
  mForgetAt = mNow + kForgetEvery;
  const std::uint64_t upTo =
    mOutcomes.Forgettable(mNow - mOptions.mOutcomeRetention,
                          mOptions.mMostOutcomes,
                          mOptions.mMostOutcomeBytes);
  if (upTo > 0) {
    mForgetting = true;
    Append(ForgottenRecord{ .mUpTo = upTo });
  }
}

bool
Engine::IsIdle() const
{
  if (mPending.Size() > 0) {
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
Engine::Note(LiveRequest& aRequest, TrailEvent aEvent, std::string aDetail)
{
  aRequest.mTrail.Add(Age(aRequest), aEvent, std::move(aDetail));
}

} // namespace oriolevane::coordination::internal
