#include <type_traits>
#include <utility>

#include "coordination/internal/engine.h"

namespace oriolevane::coordination::internal {

namespace {

using protocol::Outcome;
using protocol::RefusalReason;
using protocol::RequestStatus;

constexpr std::size_t kMostRecordsPerEvent = 4'096;
constexpr std::chrono::milliseconds kStoreRetryAfter{ 2'000 };

} // namespace

std::uint64_t
Engine::Append(Record aRecord)
{
  return mPending.Add(std::move(aRecord));
}

void
Engine::FlushRecords()
{
  if (!mStoreAvailable || mPauseRecords || !mBegun) {
    return;
  }
  for (AppendRecord& record : mPending.TakeUnsent(kMostRecordsPerEvent)) {
    mActions.push_back(std::move(record));
  }
}

void
Engine::On(const RecordCommitted& aEvent)
{
  for (const PendingRecord& record : mPending.TakeCommitted(aEvent.mSequence)) {
    OnCommitted(record);
  }
}

void
Engine::OnCommitted(const PendingRecord& aRecord)
{
  std::visit(
    [&](const auto& aBody) {
      using Body = std::decay_t<decltype(aBody)>;
      if constexpr (std::is_same_v<Body, ForgottenRecord>) {
        mOutcomes.Forget(aBody.mUpTo);
        mForgetting = false;
      } else if constexpr (std::is_same_v<Body, AcceptedRecord>) {
        OnAcceptedDurable(*mRequests.Find(aBody.mSpec.mId), aBody.mTasks);
      } else if constexpr (std::is_same_v<Body, DispatchedRecord>) {
        OnDispatchedDurable(*mRequests.Find(aBody.mId), aBody.mTasks);
      } else if constexpr (std::is_same_v<Body, CancelledRecord>) {
        LiveRequest& request = *mRequests.Find(aBody.mId);
        request.mCancelDurable = true;
        ReplyWaiters(
          request, { WaitFor::Cancellation }, StatusOf(request, false));
      } else if constexpr (std::is_same_v<Body, FinishedRecord>) {
        OnFinishedDurable(*mRequests.Find(aBody.mStatus.mId),
                          aRecord.mSequence);
      }
    },
    aRecord.mRecord);
}

void
Engine::OnAcceptedDurable(LiveRequest& aRequest,
                          const std::vector<DispatchedTask>& aTasks)
{
  aRequest.mAcceptedDurable = true;
  if (!aTasks.empty()) {
    OnDispatchedDurable(aRequest, aTasks);
  }
  ReplyWaiters(aRequest, { WaitFor::Acceptance }, StatusOf(aRequest, false));
  Dispatch(aRequest);
}

// A record that may have been written is appended again unchanged; one that
// surely was not may be given up while the store is away.
void
Engine::On(const RecordFailed& aEvent)
{
  PendingRecord* record = mPending.Find(aEvent.mSequence);
  if (record == nullptr) {
    return;
  }
  mPending.MarkFailed(*record, aEvent.mSurelyNotWritten);
  mPauseRecords = true;
  if (!mStoreAvailable) {
    TellStoreIsAway(*record);
  }
}

void
Engine::On(const StoreHealth& aEvent)
{
  if (mStoreAvailable == aEvent.mAvailable) {
    return;
  }
  mStoreAvailable = aEvent.mAvailable;
  if (mStoreAvailable) {
    return;
  }
  for (std::uint64_t sequence = mPending.Committed() + 1;
       PendingRecord* record = mPending.Find(sequence);
       ++sequence) {
    TellStoreIsAway(*record);
  }
}

// Callers don't wait for a store that is away: their request is given up when
// its record was surely not written, otherwise they are told to ask later.
void
Engine::TellStoreIsAway(PendingRecord& aRecord)
{
  const auto* accepted = std::get_if<AcceptedRecord>(&aRecord.mRecord);
  const auto* finished = std::get_if<FinishedRecord>(&aRecord.mRecord);
  const auto* cancelled = std::get_if<CancelledRecord>(&aRecord.mRecord);
  if (finished != nullptr) {
    ReplyWithoutRecord(*mRequests.Find(finished->mStatus.mId));
  } else if (cancelled != nullptr) {
    LiveRequest& request = *mRequests.Find(cancelled->mId);
    ReplyWaiters(request, { WaitFor::Cancellation }, StatusOf(request, false));
  } else if (accepted != nullptr) {
    LiveRequest& request = *mRequests.Find(accepted->mSpec.mId);
    const bool needsRecord =
      request.mSpec.mNeverRepeat || !request.mSpec.mCallerWaits;
    if (!needsRecord) {
      return;
    }
    if (aRecord.mAppended || aRecord.mMaybeWritten || request.mCancelled ||
        request.mFinished) {
      ReplyWithoutRecord(request);
    } else {
      GiveUpUnwritten(aRecord);
    }
  }
}

// The record is surely not written and nothing was sent for it: a void record
// takes its sequence, and the request is as if it had never been.
void
Engine::GiveUpUnwritten(PendingRecord& aRecord)
{
  const RequestId id = std::get<AcceptedRecord>(aRecord.mRecord).mSpec.mId;
  mPending.Void(aRecord);
  LiveRequest& request = *mRequests.Find(id);
  ReplyWaiters(
    request,
    { WaitFor::Outcome, WaitFor::Acceptance, WaitFor::Cancellation },
    { .mId = id,
      .mOutcome = request.mMayHaveRun ? Outcome::NotKnownYet : Outcome::NotRun,
      .mReason = RefusalReason::StoreUnavailable,
      .mDetail = "the record that this request needs was not written",
      .mRetryAfter = kStoreRetryAfter });
  mRequests.Remove(id);
}

} // namespace oriolevane::coordination::internal
