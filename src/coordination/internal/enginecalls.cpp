// Calls of callers: submission, status and cancellation.
#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "coordination/internal/engine.h"

namespace oriolevane::coordination::internal {

namespace {

using protocol::Outcome;
using protocol::RefusalReason;
using protocol::RequestStatus;
using protocol::TaskState;

constexpr std::chrono::milliseconds kStatusRetryAfter{ 1'000 };

bool
IsSameSpec(const protocol::RequestSpec& aLeft, protocol::RequestSpec aRight)
{
  aRight.mCallerWaits = aLeft.mCallerWaits;
  return aLeft == aRight;
}

RequestStatus
KeyReusedStatus(const RequestId& aId)
{
  return { .mId = aId,
           .mOutcome = Outcome::NotRun,
           .mReason = RefusalReason::KeyReused,
           .mDetail = "the key names another request" };
}

RequestStatus
WithTrail(const RecordedOutcome& aOutcome, bool aExplain)
{
  RequestStatus status = aOutcome.mStatus;
  if (aExplain) {
    status.mTrail = aOutcome.mTrail.Entries();
  }
  return status;
}

} // namespace

void
Engine::Submit(const Waiter& aWaiter, const protocol::RequestSpec& aSpec)
{
  if (HandleDuplicate(aWaiter, aSpec)) {
    return;
  }
  if (std::optional<RequestStatus> refusal = Refuse(aSpec)) {
    if (mOrphans.MayHaveRun(aSpec.mId)) {
      refusal->mOutcome = Outcome::NotKnownYet;
    }
    Reply(aWaiter, std::move(*refusal));
    return;
  }
  Accept(aWaiter, aSpec);
}

// Replies to a submission whose id is known already, or adds its caller to the
// waiters. Returns false when the id is new.
bool
Engine::HandleDuplicate(const Waiter& aWaiter,
                        const protocol::RequestSpec& aSpec)
{
  if (const RecordedOutcome* outcome = mOutcomes.Find(aSpec.mId)) {
    const bool sameSpec = outcome->mSpecDigest == SpecDigest(aSpec);
    Reply(aWaiter, sameSpec ? outcome->mStatus : KeyReusedStatus(aSpec.mId));
    return true;
  }
  LiveRequest* request = mRequests.Find(aSpec.mId);
  if (request == nullptr) {
    return false;
  }
  if (!IsSameSpec(request->mSpec, aSpec)) {
    Reply(aWaiter, KeyReusedStatus(aSpec.mId));
    return true;
  }
  HandleLiveDuplicate(aWaiter, *request, aSpec.mCallerWaits);
  return true;
}

void
Engine::HandleLiveDuplicate(Waiter aWaiter, LiveRequest& aRequest, bool aWaits)
{
  aWaiter.mWaitFor = aWaits ? WaitFor::Outcome : WaitFor::Acceptance;
  const bool accepted = !aWaits && aRequest.mAcceptedDurable;
  const bool serviceStarted = aRequest.mSpec.mService && aRequest.mStartSeen;
  if (accepted || serviceStarted || aRequest.mDeadlinePassed) {
    Reply(aWaiter, StatusOf(aRequest, false));
    return;
  }
  AddWaiter(aWaiter, aRequest);
  if (!mStoreAvailable) {
    ReplyWithoutRecord(aRequest);
  }
}

// Adds the request and appends its Accepted record. For a never-repeat request
// that record also names the first shards, which saves a second write before
// its start.
void
Engine::Accept(const Waiter& aWaiter, const protocol::RequestSpec& aSpec)
{
  LiveRequest& request = mRequests.Add(aSpec, mNow);
  mRetryBudgets[aSpec.mWorkload].Earn(PolicyOf(aSpec.mWorkload).mRetry);
  request.mMayHaveRun = mOrphans.MayHaveRun(aSpec.mId);
  AddTrailEntry(request, TrailEvent::Accepted, {});
  Waiter waiter = aWaiter;
  waiter.mWaitFor = aSpec.mCallerWaits ? WaitFor::Outcome : WaitFor::Acceptance;
  AddWaiter(waiter, request);
  AcceptedRecord record{ .mSpec = aSpec };
  if (aSpec.mNeverRepeat && !request.IsGang()) {
    record.mTasks = BeginRecording(request, PlanPlacements(request));
  }
  Append(std::move(record));
  if (!aSpec.mNeverRepeat && aSpec.mCallerWaits) {
    Dispatch(request);
  }
  mRequests.Reschedule(request);
}

void
Engine::HandleStatusCall(const Waiter& aWaiter,
                         const protocol::StatusCall& aCall)
{
  if (std::optional<RequestStatus> status = StatusOfUnknownId(aCall.mId)) {
    Reply(aWaiter, std::move(*status));
    return;
  }
  if (const RecordedOutcome* outcome = mOutcomes.Find(aCall.mId)) {
    Reply(aWaiter, WithTrail(*outcome, aCall.mExplain));
    return;
  }
  LiveRequest& request = *mRequests.Find(aCall.mId);
  if (!aCall.mWait) {
    Reply(aWaiter, StatusOf(request, aCall.mExplain));
    return;
  }
  Waiter waiter = aWaiter;
  waiter.mExplain = aCall.mExplain;
  AddWaiter(waiter, request);
}

void
Engine::Cancel(const Waiter& aWaiter, const protocol::CancelCall& aCall)
{
  if (std::optional<RequestStatus> status = StatusOfUnknownId(aCall.mId)) {
    Reply(aWaiter, std::move(*status));
    return;
  }
  if (const RecordedOutcome* outcome = mOutcomes.Find(aCall.mId)) {
    Reply(aWaiter, outcome->mStatus);
    return;
  }
  CancelLive(aWaiter, *mRequests.Find(aCall.mId));
}

// Cancels the request at once. The reply waits for the Cancelled record; while
// the store is unavailable the caller is told instead that the outcome is not
// known yet.
void
Engine::CancelLive(const Waiter& aWaiter, LiveRequest& aRequest)
{
  if (aRequest.mCancelDurable && !aRequest.mFinalStatus) {
    Reply(aWaiter, StatusOf(aRequest, false));
    return;
  }
  Waiter waiter = aWaiter;
  waiter.mWaitFor = WaitFor::Cancellation;
  AddWaiter(waiter, aRequest);
  if (!aRequest.mCancelled && !aRequest.mFinalStatus) {
    aRequest.mCancelled = true;
    AddTrailEntry(aRequest, TrailEvent::CancelRequested, {});
    if (mServing) {
      CancelOpenTasks(aRequest);
    }
    if (!aRequest.mFinalStatus) {
      Append(CancelledRecord{ .mId = aRequest.mSpec.mId });
    }
  }
  if (!mStoreAvailable) {
    ReplyWithoutRecord(aRequest);
    ReplyWaiters(
      aRequest, { WaitFor::Cancellation }, StatusOf(aRequest, false));
  }
}

// Returns the status of an id that is neither live nor recorded, and nothing
// for one that is. Before recovery ends, or while an orphan attempt of the id
// is being cancelled, the outcome is not known.
std::optional<RequestStatus>
Engine::StatusOfUnknownId(const RequestId& aId) const
{
  if (mOutcomes.Find(aId) != nullptr || mRequests.Find(aId) != nullptr) {
    return std::nullopt;
  }
  if (!mServing || mOrphans.Has(aId)) {
    return RequestStatus{ .mId = aId,
                          .mOutcome = Outcome::NotKnownYet,
                          .mReason = RefusalReason::Recovering,
                          .mDetail = mServing
                                       ? "an unrecorded attempt is being ended"
                                       : "the partition is recovering",
                          .mRetryAfter = kStatusRetryAfter };
  }
  return RequestStatus{ .mId = aId, .mOutcome = Outcome::NotFound };
}

RequestStatus
Engine::StatusOf(const LiveRequest& aRequest, bool aExplain) const
{
  RequestStatus status{ .mId = aRequest.mSpec.mId,
                        .mOutcome = Outcome::Pending };
  bool unknown = false;
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    const TaskSlot& slot = aRequest.mSlots[index];
    unknown = unknown || slot.mState == TaskState::Unknown ||
              slot.mState == TaskState::Lost;
    status.mTasks.push_back({ .mIndex = index,
                              .mAttempt = slot.mAttempt,
                              .mState = slot.mState,
                              .mWorker = slot.mWorker });
  }
  if (aRequest.mCancelled) {
    status.mReason = RefusalReason::Cancelled;
  } else if (aRequest.mDeadlinePassed) {
    status.mReason = RefusalReason::DeadlinePassed;
  }
  if (unknown || aRequest.mCancelled || aRequest.mDeadlinePassed) {
    status.mOutcome = Outcome::NotKnownYet;
    status.mRetryAfter = kStatusRetryAfter;
  }
  if (aExplain) {
    status.mTrail = aRequest.mTrail.Entries();
  }
  return status;
}

void
Engine::AddWaiter(const Waiter& aWaiter, LiveRequest& aRequest)
{
  mCalls.Open(aWaiter, &aRequest);
  aRequest.mWaiters.push_back(aWaiter);
}

void
Engine::Reply(const Waiter& aWaiter, RequestStatus aStatus)
{
  mActions.push_back(ReplyToCaller{
    .mOrigin = mCalls.Origin(aWaiter.mOrigin),
    .mReply = { .mCall = aWaiter.mCall, .mStatus = std::move(aStatus) } });
}

void
Engine::ReplyWaiters(LiveRequest& aRequest,
                     const std::vector<WaitFor>& aKinds,
                     const RequestStatus& aStatus)
{
  std::vector<Waiter> kept;
  for (const Waiter& waiter : aRequest.mWaiters) {
    if (std::find(aKinds.begin(), aKinds.end(), waiter.mWaitFor) ==
        aKinds.end()) {
      kept.push_back(waiter);
      continue;
    }
    RequestStatus status = aStatus;
    if (waiter.mExplain) {
      status.mTrail = aRequest.mTrail.Entries();
    }
    mCalls.Close(waiter);
    Reply(waiter, std::move(status));
  }
  aRequest.mWaiters = std::move(kept);
}

} // namespace oriolevane::coordination::internal
