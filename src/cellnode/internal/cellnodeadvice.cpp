// The part of a node that queries the policy service, for itself as the owner
// or for the owner on another node.
#include <utility>

#include "cellnode/internal/cellnodeimpl.h"
#include "cellnode/internal/peermessages.h"
#include "framework/steadynow.h"

namespace oriolevane::cellnode {

void
CellNode::Impl::SendAdviceQuery(const NodeId& aNode,
                                QueryId aId,
                                const jobs::AdviceQuery& aQuery)
{
  if (aNode == mOptions.mNode) {
    QueryPolicyService(
      aQuery, [this, alive = mAlive, aId](const jobs::AdviceAnswer& aAnswer) {
        if (*alive) {
          OnAdviceAnswer(aId, aAnswer);
        }
      });
    return;
  }
  mPeers.Send(aNode, ToWire(aId.mValue, aQuery));
}

void
CellNode::Impl::QueryPolicyService(
  const jobs::AdviceQuery& aQuery,
  std::function<void(const jobs::AdviceAnswer&)> aDone)
{
  mUpstreams.mAdvise(
    aQuery,
    [this, alive = mAlive, sentAt = SteadyNow(), done = std::move(aDone)](
      const jobs::AdviceAnswer& aAnswer) {
      if (*alive) {
        mMetrics.Observe(Stage::Advice, SteadyNow() - sentAt);
        done(aAnswer);
      }
    });
}

void
CellNode::Impl::OnPeerAdviceQuery(const NodeId& aNode,
                                  const cellwire::AdviceQueryT& aQuery)
{
  QueryPolicyService(
    FromWire(aQuery),
    [this, alive = mAlive, aNode, aQuery](const jobs::AdviceAnswer& aAnswer) {
      if (*alive) {
        mPeers.Send(aNode, ToWire(aQuery, aAnswer));
      }
    });
}

void
CellNode::Impl::OnAdviceAnswer(QueryId aId, const jobs::AdviceAnswer& aAnswer)
{
  if (mSession == nullptr) {
    OnStaleAnswer(PeerRequest::Advice, aId.mValue);
    return;
  }
  mSession->OnAdvice(aId, aAnswer);
}

} // namespace oriolevane::cellnode
