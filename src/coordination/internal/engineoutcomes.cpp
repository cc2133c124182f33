// Final outcomes of requests.
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

constexpr std::chrono::milliseconds kStoreRetryAfter{ 2'000 };

struct StateCounts
{
  std::size_t mSucceeded = 0;
  std::size_t mFailed = 0;
  std::size_t mLost = 0;
  std::size_t mNotStarted = 0;
};

StateCounts
CountStates(const LiveRequest& aRequest)
{
  StateCounts counts;
  for (const TaskSlot& slot : aRequest.mSlots) {
    counts.mSucceeded += slot.mState == TaskState::Succeeded ? 1 : 0;
    counts.mFailed += slot.mState == TaskState::Failed ? 1 : 0;
    counts.mLost += slot.mState == TaskState::Lost ? 1 : 0;
    counts.mNotStarted += slot.mState == TaskState::NotStarted ? 1 : 0;
  }
  return counts;
}

} // namespace

// Determines the final outcome once all tasks are done and appends its record,
// unless a gang is tried again.
void
Engine::FinishIfDone(LiveRequest& aRequest)
{
  if (aRequest.mFinalStatus || aRequest.mSlotsDone < aRequest.mSlots.size()) {
    return;
  }
  if (aRequest.IsGang() && RetryGang(aRequest)) {
    return;
  }
  aRequest.mFinalStatus = FinalStatus(aRequest);
  aRequest.mResendAt = TimePoint::max();
  aRequest.mDispatchAt = TimePoint::max();
  AddTrailEntry(aRequest, TrailEvent::Finished, aRequest.mFinalStatus->mDetail);
  if (aRequest.mSpec.mDeadline && !aRequest.mRecovered) {
    const bool met = aRequest.mFinalStatus->mOutcome == Outcome::Ran &&
                     !aRequest.mDeadlinePassed &&
                     Age(aRequest) <= *aRequest.mSpec.mDeadline;
    mActions.push_back(ObjectiveSample{ .mWorkload = aRequest.mSpec.mWorkload,
                                        .mTeam = aRequest.mSpec.mTeam,
                                        .mUrgency = aRequest.mSpec.mUrgency,
                                        .mDeadlineMet = met });
  }
  aRequest.mDeadlineAt = TimePoint::max();
  Append(FinishedRecord{ .mStatus = *aRequest.mFinalStatus });
  mRequests.Reschedule(aRequest);
  if (!mStoreAvailable) {
    ReplyWithoutRecord(aRequest);
  }
}

// Returns the final status. The outcome is "not run" only when every attempt
// ever made ended before its start.
RequestStatus
Engine::FinalStatus(const LiveRequest& aRequest) const
{
  const StateCounts counts = CountStates(aRequest);
  RequestStatus status{ .mId = aRequest.mSpec.mId };
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    const TaskSlot& slot = aRequest.mSlots[index];
    status.mTasks.push_back({ .mIndex = index,
                              .mAttempt = slot.mAttempt,
                              .mState = slot.mState,
                              .mWorker = slot.mWorker,
                              .mAnswer = slot.mAnswer });
  }
  if (aRequest.mCancelled) {
    status.mReason = RefusalReason::Cancelled;
  } else if (aRequest.mDeadlinePassed) {
    status.mReason = RefusalReason::DeadlinePassed;
  } else if (IsNeverRunnable(aRequest)) {
    status.mReason = RefusalReason::NeverRunnable;
    status.mDetail =
      mRouter.WhyNeverFits(aRequest.mSpec.mPerTask)
        .value_or("no worker of any shard could ever hold a task of it");
  }
  if (counts.mLost > 0) {
    status.mOutcome = Outcome::NotKnownYet;
    if (aRequest.mSpec.mNeverRepeat) {
      status.mReason = RefusalReason::MayHaveRun;
    } else if (status.mReason == RefusalReason::None) {
      status.mReason = RefusalReason::RetriesExhausted;
    }
    status.mDetail = fmt::format("{} of {} tasks were lost with their workers",
                                 counts.mLost,
                                 aRequest.mSlots.size());
  } else if (counts.mSucceeded + counts.mFailed > 0) {
    status.mOutcome = Outcome::Ran;
    if (counts.mFailed + counts.mNotStarted > 0) {
      status.mDetail = fmt::format("{} tasks succeeded, {} failed, {} not run",
                                   counts.mSucceeded,
                                   counts.mFailed,
                                   counts.mNotStarted);
    }
  } else if (aRequest.mMayHaveRun) {
    status.mOutcome = Outcome::NotKnownYet;
    if (status.mReason == RefusalReason::None) {
      status.mReason = RefusalReason::MayHaveRun;
    }
    status.mDetail = "an earlier attempt started or may have";
  } else {
    status.mOutcome = Outcome::NotRun;
    if (status.mReason == RefusalReason::None) {
      status.mReason = RefusalReason::NoCapacity;
    }
  }
  return status;
}

// Replies to callers while the store is unavailable. The answer of a repeatable
// request that ran is returned without a record: if the record is lost, a later
// try runs the request again, which it permits. "Not run" is not returned,
// since without its record the next owner would run the request. Nor is the
// answer of a never-repeat request, since a later try could get "may have run"
// instead.
void
Engine::ReplyWithoutRecord(LiveRequest& aRequest)
{
  const protocol::RequestSpec& spec = aRequest.mSpec;
  if (aRequest.mFinalStatus &&
      aRequest.mFinalStatus->mOutcome == Outcome::Ran && !spec.mNeverRepeat) {
    ReplyWaiters(aRequest,
                 { WaitFor::Outcome, WaitFor::Cancellation },
                 *aRequest.mFinalStatus);
  }
  if (!aRequest.mFinalStatus && aRequest.mAcceptedDurable) {
    return;
  }
  RequestStatus status = StatusOf(aRequest, false);
  status.mOutcome = Outcome::NotKnownYet;
  status.mReason = RefusalReason::StoreUnavailable;
  status.mRetryAfter = kStoreRetryAfter;
  const bool continuesWithoutRecord =
    !aRequest.mFinalStatus && !spec.mNeverRepeat && spec.mCallerWaits;
  ReplyWaiters(aRequest, { WaitFor::Acceptance }, status);
  if (!continuesWithoutRecord) {
    ReplyWaiters(aRequest, { WaitFor::Outcome, WaitFor::Cancellation }, status);
  }
}

// Replies to all waiters, acknowledges the attempts and moves the request to
// the recorded outcomes.
void
Engine::OnFinishedDurable(LiveRequest& aRequest, std::uint64_t aSequence)
{
  ReplyWaiters(aRequest,
               { WaitFor::Outcome, WaitFor::Acceptance, WaitFor::Cancellation },
               *aRequest.mFinalStatus);
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    SendAck(aRequest, index);
  }
  const RequestId id = aRequest.mSpec.mId;
  mOutcomes.Add({ .mStatus = std::move(*aRequest.mFinalStatus),
                  .mSpecDigest = SpecDigest(aRequest.mSpec),
                  .mSequence = aSequence,
                  .mTrail = std::move(aRequest.mTrail),
                  .mKeptSince = mNow });
  mRequests.Remove(id);
}

} // namespace oriolevane::coordination::internal
