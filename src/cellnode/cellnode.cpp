#include "cellnode/cellnode.h"

#include <utility>

#include "cellnode/internal/cellnodeimpl.h"

namespace oriolevane::cellnode {

CellNode::CellNode(eventloop::EventLoop& aLoop,
                   NodeOptions aOptions,
                   RowStoreHooks aStore,
                   UpstreamHooks aUpstreams,
                   ExternalFormats aFormats)
  : mImpl(std::make_unique<Impl>(aLoop,
                                 std::move(aOptions),
                                 std::move(aStore),
                                 std::move(aUpstreams),
                                 std::move(aFormats)))
{
}

CellNode::~CellNode() = default;

absl::Status
CellNode::Start()
{
  return mImpl->Start();
}

void
CellNode::Handle(CallerRequest aRequest, AnswerCallback aReply)
{
  mImpl->Handle(std::move(aRequest), std::move(aReply));
}

bool
CellNode::IsReady() const
{
  return mImpl->IsReady();
}

void
CellNode::Stop(std::function<void()> aDone)
{
  mImpl->Stop(std::move(aDone));
}

NodeStatus
CellNode::Status() const
{
  return mImpl->Status();
}

const NodeMetrics&
CellNode::Metrics() const
{
  return mImpl->Metrics();
}

} // namespace oriolevane::cellnode
