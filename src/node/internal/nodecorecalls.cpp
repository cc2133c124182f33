#include "node/nodecore.h"

#include <utility>

#include "node/internal/requestof.h"

namespace oriolevane::node {

namespace {

protocol::RequestStatus
Refusal(const protocol::CallerCall& aCall,
        protocol::RefusalReason aReason,
        std::chrono::milliseconds aRetryAfter)
{
  protocol::RequestStatus status{ .mReason = aReason,
                                  .mRetryAfter = aRetryAfter };
  status.mId = RequestOf(aCall.mBody);
  // An earlier call under the same id may be known to the owner that cannot be
  // asked now.
  status.mOutcome = protocol::Outcome::NotKnownYet;
  return status;
}

} // namespace

void
NodeCore::On(GatewayCall& aEvent)
{
  const std::uint64_t call = aEvent.mCall.mCall;
  const auto [entry, isNew] = mCalls.emplace(
    call,
    PendingCall{
      .mCall = std::move(aEvent.mCall), .mArrived = mNow, .mSent = mNow });
  if (isNew) {
    SendCall(entry->second);
  }
}

void
NodeCore::On(GatewayCallAbandoned& aEvent)
{
  const auto found = mCalls.find(aEvent.mCall);
  if (found == mCalls.end()) {
    return;
  }
  const PartitionId partition = found->second.mCall.mPartition;
  mCalls.erase(found);
  Feed(partition,
       coordination::CallAbandoned{
         .mOrigin = { mOptions.mNode, mOptions.mIncarnation },
         .mCall = aEvent.mCall });
}

void
NodeCore::SendCall(PendingCall& aPending)
{
  const std::optional<Owner> owner =
    mPartitionOwners.Find(aPending.mCall.mPartition.mValue);
  aPending.mSent = mNow;
  aPending.mSentTo = owner.value_or(Owner{});
  if (!owner.has_value()) {
    return;
  }
  if (owner->mNode != mOptions.mNode) {
    SendTo(owner->mNode, aPending.mCall);
    return;
  }
  const protocol::CallerCall call = aPending.mCall;
  Feed(call.mPartition,
       coordination::CallArrived{
         .mOrigin = { mOptions.mNode, mOptions.mIncarnation }, .mCall = call });
}

// Sends again what a new owner has not seen or a connection may have lost;
// refuses what has waited too long for an owner.
void
NodeCore::ServeCalls()
{
  std::vector<std::uint64_t> again;
  std::vector<std::uint64_t> refused;
  for (const auto& [number, pending] : mCalls) {
    const Owner owner =
      mPartitionOwners.Find(pending.mCall.mPartition.mValue).value_or(Owner{});
    const bool hasOwner = !owner.mNode.Empty();
    if (!hasOwner && mNow - pending.mArrived >= mOptions.mWaitForOwner &&
        pending.mSentTo.mNode.Empty()) {
      refused.push_back(number);
    } else if (hasOwner &&
               (owner != pending.mSentTo ||
                mNow - pending.mSent >= mOptions.mResendCallAfter)) {
      again.push_back(number);
    }
  }
  for (const std::uint64_t number : again) {
    const auto found = mCalls.find(number);
    const bool local = found->second.mSentTo.mNode == mOptions.mNode;
    const Owner owner =
      *mPartitionOwners.Find(found->second.mCall.mPartition.mValue);
    if (local && owner == found->second.mSentTo) {
      found->second.mSent = mNow;
    } else {
      SendCall(found->second);
    }
  }
  for (const std::uint64_t number : refused) {
    const auto found = mCalls.find(number);
    OnReply({ number,
              Refusal(found->second.mCall,
                      protocol::RefusalReason::Recovering,
                      mOptions.mRecoveringRetryAfter) });
  }
}

void
NodeCore::OnReply(const protocol::CallerReply& aReply)
{
  if (mCalls.erase(aReply.mCall) > 0) {
    mActions.emplace_back(ReplyToGateway{ aReply });
  }
}

// A reply is taken only for the request it names, as numbers of calls may meet
// those of an earlier process; and "not run" only from the owner that was asked
// last, as a later owner may have accepted the copy it was sent.
void
NodeCore::OnPeerReply(const NodeId& aFrom, const protocol::CallerReply& aReply)
{
  const auto found = mCalls.find(aReply.mCall);
  if (found == mCalls.end() ||
      RequestOf(found->second.mCall.mBody) != aReply.mStatus.mId) {
    return;
  }
  const bool refused = aReply.mStatus.mOutcome == protocol::Outcome::NotRun;
  if (!refused || found->second.mSentTo.mNode == aFrom) {
    OnReply(aReply);
  }
}

void
NodeCore::Reply(const coordination::CallOrigin& aOrigin,
                const protocol::CallerReply& aReply)
{
  if (aOrigin.mNode != mOptions.mNode) {
    if (aReply.mStatus.mOutcome == protocol::Outcome::NotRun) {
      mRefusals.Add(aOrigin, aReply, mNow);
    }
    SendTo(aOrigin.mNode, aReply);
  } else if (aOrigin.mIncarnation == mOptions.mIncarnation) {
    OnReply(aReply);
  }
}

} // namespace oriolevane::node
