// Writing of records to the journal, and what follows when they are durable or
// fail.
#include <type_traits>
#include <utility>

#include "coordination/internal/engine.h"

namespace oriolevane::coordination::internal {

namespace {

using protocol::Outcome;
using protocol::RefusalReason;
using protocol::RequestStatus;

constexpr std::size_t kMaxRecordsPerEvent = 4'096;
constexpr std::chrono::milliseconds kStoreRetryAfter{ 2'000 };

} // namespace

std::uint64_t
Engine::Append(Record aRecord)
{
  return mPendingRecords.Add(std::move(aRecord));
}

void
Engine::FlushRecords()
{
  if (!mStoreAvailable || mAppendsPaused || !mRecoveryStarted) {
    return;
  }
  for (AppendRecord& record :
       mPendingRecords.TakeUnappended(kMaxRecordsPerEvent)) {
    mActions.push_back(std::move(record));
  }
}

void
Engine::On(const RecordCommitted& aEvent)
{
  for (const PendingRecord& record :
       mPendingRecords.TakeCommitted(aEvent.mSequence)) {
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
        mForgetRecordPending = false;
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

// Marks the record to be appended again. A record that may have been written is
// repeated unchanged; one that was certainly not written may be dropped while
// the store is unavailable.
void
Engine::On(const RecordFailed& aEvent)
{
  PendingRecord* record = mPendingRecords.Find(aEvent.mSequence);
  if (record == nullptr) {
    return;
  }
  mPendingRecords.MarkFailed(*record, aEvent.mSurelyNotWritten);
  mAppendsPaused = true;
  if (!mStoreAvailable) {
    ReplyStoreUnavailable(*record);
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
  for (std::uint64_t sequence = mPendingRecords.Committed() + 1;
       PendingRecord* record = mPendingRecords.Find(sequence);
       ++sequence) {
    ReplyStoreUnavailable(*record);
  }
}

// Replies to the callers that wait for this record, since the store is
// unavailable. Their request is dropped when its record was certainly not
// written; otherwise they are told to ask again later.
void
Engine::ReplyStoreUnavailable(PendingRecord& aRecord)
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
        request.mFinalStatus) {
      ReplyWithoutRecord(request);
    } else {
      AbandonUnwrittenRequest(aRecord);
    }
  }
}

// Removes a request whose Accepted record was certainly not written and for
// which nothing was sent. A void record takes its sequence number.
void
Engine::AbandonUnwrittenRequest(PendingRecord& aRecord)
{
  const RequestId id = std::get<AcceptedRecord>(aRecord.mRecord).mSpec.mId;
  mPendingRecords.ReplaceWithVoid(aRecord);
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
