// The part of a node that passes requests of callers to the owner of the shard,
// and answers back.
#include <utility>

#include "cellnode/internal/cellnodeimpl.h"
#include "cellnode/internal/peermessages.h"
#include "framework/log.h"
#include "framework/steadynow.h"

namespace oriolevane::cellnode {

void
CellNode::Impl::Handle(CallerRequest aRequest, AnswerCallback aReply)
{
  mConfiguration.Stamp(aRequest, BootClock::Now());
  const TimePoint arrived = SteadyNow();
  AnswerCallback reply =
    [this, arrived, path = aRequest.mPath, inner = std::move(aReply)](
      const CallerAnswer& aAnswer) {
      if (aAnswer.mKind == CallerAnswerKind::Unauthorized) {
        LogInfo("key_refused").With("path", path);
      }
      mMetrics.Observe(Stage::Answer, SteadyNow() - arrived);
      mMetrics.CountAnswer(aAnswer.mKind);
      inner(aAnswer);
    };
  SendCall(mCalls.Add(std::move(aRequest), std::move(reply), arrived));
}

void
CellNode::Impl::SendCall(CallId aId)
{
  const CallerRequest* found = mCalls.Find(aId);
  if (found == nullptr) {
    return;
  }
  CallerRequest request = *found;
  // The call may have waited for an owner, while a newer version was read.
  mConfiguration.Stamp(request, BootClock::Now());
  const SendId send = mCalls.NextSendId();
  if (mSession != nullptr) {
    mCalls.MarkSent(aId, send, mOptions.mNode);
    mSession->Serve(request,
                    [this, alive = mAlive, send](const CallerAnswer& aAnswer) {
                      if (*alive) {
                        mCalls.Answer(send, aAnswer);
                      }
                    });
    return;
  }
  // After a restart, this node has to know the version by which it may have
  // answered before.
  if (mOwner.Empty() || !mConfiguration.Current().has_value()) {
    return;
  }
  if (mPeers.Send(mOwner, ToWire(send.mValue, request, mOwnerEpoch))) {
    mCalls.MarkSent(aId, send, mOwner);
  }
}

void
CellNode::Impl::SendUnsentCalls()
{
  for (const CallId id : mCalls.Unsent()) {
    SendCall(id);
  }
}

void
CellNode::Impl::OnPeerCallerRequest(const NodeId& aNode,
                                    const cellwire::CallerRequestT& aCall)
{
  if (mSession == nullptr) {
    // Lets the sender look for the owner again.
    UpdateHello();
    return;
  }
  if (!IsMeantFor(mSession->Term(), aCall)) {
    LogInfo("call_of_another_term_ignored")
      .With("from", aNode)
      .With("path", aCall.path)
      .With("call_epoch", aCall.epoch)
      .With("epoch", mSession->Term());
    return;
  }
  const absl::StatusOr<CallerRequest> request = FromWire(aCall);
  if (!request.ok()) {
    LogWarning("peer_message_refused")
      .With("peer", aNode)
      .With("status", request.status().ToString());
    return;
  }
  const bool knowsKeys = request->mCredential != CredentialKind::Unknown;
  mSession->Serve(
    *request,
    [this, alive = mAlive, aNode, knowsKeys, id = aCall.id](
      CallerAnswer aAnswer) {
      if (*alive) {
        aAnswer.mVersion = mConfiguration.Version();
        mPeers.Send(
          aNode, ToWire(id, knowsKeys ? aAnswer : ForNodeWithoutKeys(aAnswer)));
      }
    });
}

void
CellNode::Impl::OnPeerCallerAnswer(const NodeId& aNode,
                                   const cellwire::CallerAnswerT& aAnswer)
{
  const SendId send(aAnswer.id);
  if (!mCalls.HasSent(send)) {
    OnStaleAnswer(PeerRequest::Caller, send.mValue);
    return;
  }
  const absl::StatusOr<CallerAnswer> answer = FromWire(aAnswer);
  if (!answer.ok()) {
    LogWarning("peer_message_refused")
      .With("peer", aNode)
      .With("status", answer.status().ToString());
    return;
  }
  mConfiguration.OnVersionObserved(answer->mVersion);
  mCalls.Answer(send, *answer);
}

} // namespace oriolevane::cellnode
